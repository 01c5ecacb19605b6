package chain

import (
	"fmt"
	"strings"

	"raventrestle/coordination/view"
)

// String tells the node's state in one line, for people who read a history.
func (n *Node) String() string {
	names := func(members []view.Member) string {
		var list []string
		for _, member := range members {
			list = append(list, member.Identity[max(0, len(member.Identity)-8):])
		}
		return strings.Join(list, ",")
	}
	marks := ""
	for _, mark := range []struct {
		set  bool
		name string
	}{
		{n.sealed(), " promised"},
		{n.complete(), " whole"},
		{n.logMatched, " matched"},
		{n.diskFailing, " refusing"},
		{n.leaving, " leaving"},
		{n.detector.leaderSince > 0, " leader"},
	} {
		if mark.set {
			marks += mark.name
		}
	}
	return fmt.Sprintf("epoch %d chain %s voters %s: log %d-%d committed %d active %d%s",
		n.view.Epoch, names(n.view.Chain), names(n.view.Voters), n.log.baseIndex, n.log.lastIndex(), n.commitIndex, n.completeEpoch, marks)
}
