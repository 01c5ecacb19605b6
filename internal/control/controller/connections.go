package controller

import (
	"time"

	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// connectionTable numbers connections on which routers probed or subscribed. A connection keeps its number until it is
// closed; numbers are not used again.
type connectionTable struct {
	ids    map[Connection]distribution.ConnectionID
	byID   map[distribution.ConnectionID]Connection
	newest distribution.ConnectionID
}

func newConnectionTable() connectionTable {
	return connectionTable{
		ids:  make(map[Connection]distribution.ConnectionID),
		byID: make(map[distribution.ConnectionID]Connection),
	}
}

// identify returns the number of a connection; an unknown one gets the next.
func (t *connectionTable) identify(connection Connection) distribution.ConnectionID {
	if id, known := t.ids[connection]; known {
		return id
	}
	t.newest++
	t.ids[connection] = t.newest
	t.byID[t.newest] = connection
	return t.newest
}

// id returns the number of a connection, if it has one.
func (t *connectionTable) id(connection Connection) (distribution.ConnectionID, bool) {
	id, known := t.ids[connection]
	return id, known
}

// connection returns the connection of a number, unless it was removed.
func (t *connectionTable) connection(id distribution.ConnectionID) (Connection, bool) {
	connection, open := t.byID[id]
	return connection, open
}

func (t *connectionTable) remove(connection Connection) {
	delete(t.byID, t.ids[connection])
	delete(t.ids, connection)
}

// receive takes in a message of a router or of another instance.
func (c *Controller) receive(now time.Time, in MessageReceived) {
	switch message := in.Message.(type) {
	case *protocol.Subscribe:
		// A probe may have come before on the same connection.
		c.toHub(distribution.Subscribed{Connection: c.connections.identify(in.Connection), Router: *message})
	case *protocol.UpdateAck:
		if id, known := c.connections.id(in.Connection); known {
			c.toHub(distribution.UpdateConfirmed{Connection: id, Sequence: message.Sequence, Echo: message.EchoSequence})
		}
	case *protocol.Probe:
		c.toHub(distribution.Probed{Connection: c.connections.identify(in.Connection), Echo: message.EchoSequence})
	case *protocol.Report:
		c.queueReport(message)
	case *protocol.ReportBatch:
		c.out.Reports = append(c.out.Reports, message)
	case *protocol.GrantBatch: // of an earlier build's leader
	default:
		c.toRegistry(registry.PeerMessage{Content: in.Message})
	}
}

// connectionClosed forgets a connection, if a router used it.
func (c *Controller) connectionClosed(connection Connection) {
	id, known := c.connections.id(connection)
	if !known {
		return
	}
	c.connections.remove(connection)
	c.toHub(distribution.ConnectionClosed{Connection: id})
}
