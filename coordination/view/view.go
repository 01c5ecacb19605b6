package view

// Member is one participant. Its identity is created at the first start on an empty disk and is lost with the disk.
type Member struct {
	Identity string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"` // host:port of its transport
	Zone     string `cbor:"3,keyasint"` // failure domain
	Tag      string `cbor:"4,keyasint"` // opaque to this library: the embedding program's own address or label
}

// View is one agreed membership. Every member of the chain is a voter; Chain is in order from head to tail.
type View struct {
	Epoch  uint64   `cbor:"1,keyasint"` // 1 for the first view, one more for each view that is decided
	Chain  []Member `cbor:"2,keyasint"`
	Voters []Member `cbor:"3,keyasint"`
}

// Head returns the member at which commands enter the chain, or the zero Member when there is no view yet.
func (v View) Head() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[0]
}

// Tail returns the member that commits, or the zero Member when there is no view yet.
func (v View) Tail() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[len(v.Chain)-1]
}

// ChainIndex returns the position of the identity in the chain, or -1.
func (v View) ChainIndex(identity string) int { return indexOf(v.Chain, identity) }

// IsVoter reports whether the identity is a voter of the view.
func (v View) IsVoter(identity string) bool { return indexOf(v.Voters, identity) >= 0 }

func indexOf(members []Member, identity string) int {
	for i, member := range members {
		if member.Identity == identity {
			return i
		}
	}
	return -1
}
