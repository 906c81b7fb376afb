package engine

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/control"
	"toucangap/internal/event"
	"toucangap/internal/membership"
	"toucangap/internal/peerlink"
	"toucangap/internal/rollout"
	"toucangap/internal/steer"
	"toucangap/internal/traffic"
)

// loop is the control goroutine. All changes of control state happen here, one
// message or tick at a time.
func (e *Engine) loop(ctx context.Context) {
	ticker := time.NewTicker(control.TickPeriod / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-e.inbox:
			m.apply(e, e.now())
		case <-ticker.C:
			if e.tick(ctx, e.now()) {
				return
			}
		}
	}
}

// tick does the periodic work and reports whether a graceful shutdown is
// complete.
func (e *Engine) tick(ctx context.Context, now time.Duration) bool {
	e.probes.Send(e.members.Tick(now))
	e.applyMembershipEvents(now)
	e.control.SetIncarnation(e.members.Self().Incarnation)
	out := e.control.Tick(now)
	if e.members.Self().State != out.State {
		e.members.SetSelfState(out.State)
		event.Log(e.logger, event.SelfStateChanged, slog.String("state", out.State.String()))
	}
	for _, s := range out.Sends {
		// A peer without a link is updated when it is connected again.
		_ = e.links.Send(s.Host, s.Message)
	}
	e.observePeers(out.Offers, out.FetchedBundles)
	e.applyBundleDecision(now)
	e.updateRole(now)
	e.sendCommands(ctx, out.Commands)
	return out.ShutdownComplete
}

// applyMembershipEvents passes changes of membership to control, links and traffic.
func (e *Engine) applyMembershipEvents(now time.Duration) {
	changed := false
	for _, ev := range e.members.Events() {
		membership.Log(e.logger, ev)
		switch ev.(type) {
		case membership.HostChanged:
			changed = true
		case membership.Paused:
			e.control.Paused()
		case membership.PresumedDead:
			e.control.PresumedDead(now)
		}
	}
	if changed {
		hosts := e.members.Hosts()
		e.control.SetHosts(now, hosts)
		e.links.SetPeers(hosts)
		e.plane.SetPeers(packetAddresses(hosts))
	}
}

// packetAddresses returns the addresses from which peers forward packets.
func packetAddresses(hosts []config.Host) []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range hosts {
		out = append(out, h.Packets)
	}
	return out
}

// sendCommands gives each shard its command; the results arrive in the inbox.
func (e *Engine) sendCommands(ctx context.Context, commands []steer.Command) {
	for i, c := range commands {
		if c.View != nil {
			e.view.Store(c.View)
		}
		t := &commandTask{engine: e, ctx: ctx, shard: i, command: c}
		if err := e.plane.Shards()[i].Do(ctx, t); err != nil {
			return
		}
	}
}

// commandTask executes a command on a shard's goroutine.
type commandTask struct {
	engine  *Engine
	ctx     context.Context
	shard   int
	command steer.Command
}

// Run implements traffic.Task.
func (t *commandTask) Run(now time.Duration) {
	report := t.engine.shards[t.shard].Execute(now, &t.command)
	t.sendReplies(t.engine.plane.Shards()[t.shard], report.Notices)
	select {
	case t.engine.inbox <- shardReport{t.shard, report}:
	case <-t.ctx.Done():
	}
}

// sendReplies sends callers the replies of a command's notices.
func (t *commandTask) sendReplies(shard *traffic.Shard, notices []steer.Notice) {
	for _, n := range notices {
		p := &steer.Packet{
			Direction: steer.FromCaller,
			Key:       n.Flow,
			HasCoAP:   true,
			CoAP:      n.Message,
		}
		if err := shard.Reply(n.Reply, p, n.Reason, 0); err != nil {
			event.Log(t.engine.logger, event.ReplyFailed, slog.String("error", err.Error()))
		}
	}
}

// shardReport is the result of a command that a shard has executed.
type shardReport struct {
	shard  int
	report steer.CommandResult
}

func (r shardReport) apply(e *Engine, now time.Duration) {
	e.control.Report(now, r.shard, r.report)
}

// receiveLinkNotifications passes events of peer links to the control goroutine.
func (e *Engine) receiveLinkNotifications(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case n := <-e.links.Notifications():
			e.post(ctx, linkNotification{n})
		}
	}
}

// linkNotification is an event of a peer link.
type linkNotification struct {
	peerlink.Notification
}

func (n linkNotification) apply(e *Engine, now time.Duration) {
	switch n := n.Notification.(type) {
	case peerlink.Connected:
		e.control.Connected(now, n.Host)
	case peerlink.Disconnected:
		e.control.Disconnected(n.Host)
		e.follower.RemoveSource(rollout.Source(n.Host))
	case peerlink.Received:
		e.control.Receive(now, n.Host, n.Envelope)
	}
}
