package hostd

import "siskinsaddle/internal/serve/admin"

func (h *Host) newAdmin() *admin.Server {
	return &admin.Server{
		Address: h.Settings.Callers.OperatorAddress,
		Secret:  string(h.Settings.Callers.OperatorSecret),
		Status:  h.status,
		Log:     h.Log.WithPrefix("operators"),
	}
}

// status returns the state of this host for its operators.
func (h *Host) status() admin.Status {
	view := h.holder.View()
	s := admin.Status{
		HostName:      h.Settings.HostName,
		FailureDomain: h.Settings.FailureDomain,
		Region:        h.Settings.Region,
		Incarnation:   h.link.Incarnation,
		Ready:         h.entry.IsReady(),
		Generation:    view.Generation,
		Mode:          string(view.Mode),
		Open:          h.entry.Open(),
		Running:       h.keeper.Running(),
		PendingClaims: h.claims.Pending(),
		Kept:          h.keeper.KeptServers(),
	}
	for _, other := range h.members.View().Hosts() {
		s.Hosts = append(s.Hosts, admin.Host{
			Name:          other.Name,
			FailureDomain: other.FailureDomain,
			State:         string(other.State),
			Incarnation:   other.Incarnation,
		})
	}
	return s
}
