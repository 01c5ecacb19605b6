package host

import (
	"context"

	"raventrestle/internal/control/controller"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

// carryOut carries out a step's output in the order of its fields: messages first, answers last.
func (h *Host) carryOut(ctx context.Context, output controller.Output) {
	for _, message := range output.RouterMessages {
		h.sendRouter(message)
	}
	for _, message := range output.PeerMessages {
		h.dependencies.Mesh.Send(message.To, message.Message)
	}
	for _, batch := range output.Reports {
		h.dependencies.Roles.HandleReports(batch)
	}
	if change := output.QuorumChange; change != nil {
		h.dependencies.Events.QuorumChanged(change.Lost, change.Live, change.Voters)
	}
	for _, router := range output.Subscribed {
		h.dependencies.Events.RouterSubscribed(router.Node, router.Zone, router.Generation)
	}
	for _, closing := range output.Close {
		h.dependencies.Events.RouterClosed(closing.Node, closing.Reason)
		closing.Connection.(*transport.Connection).Close()
	}
	for _, answer := range output.Answers {
		answer.Caller.(chan controller.Answer) <- answer // buffered: it doesn't block
	}
	for _, proposal := range output.Proposals {
		h.tasks.Add(1)
		go h.recordDeparture(ctx, proposal)
	}
	if output.StartBarrier != 0 {
		h.tasks.Add(1)
		go h.runBarrier(ctx, output.StartBarrier)
	}
}

// sendRouter closes the connection of a router that reads too slowly or has closed it: the router subscribes again.
func (h *Host) sendRouter(message controller.RouterMessage) {
	connection := message.Connection.(*transport.Connection)
	if err := h.sendOn(connection, message.Message); err != nil {
		connection.Close()
	}
}

func (h *Host) sendOn(connection *transport.Connection, message any) error {
	update, isUpdate := message.(*protocol.Update)
	if !isUpdate {
		return connection.Send(message)
	}
	frame, err := h.encoder.encode(update)
	if err != nil {
		return err
	}
	return connection.SendFrame(frame)
}
