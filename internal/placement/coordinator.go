package placement

import "time"

// One gateway, the coordinator, can place the long prompts of all gateways. It
// knows what each engine still has to prefill and has cached without the
// propagation delay of load reports between gateways. This helps with bursts of
// long prompts that are spread over gateways which each see only a few of them.

const (
	// MinCoordinatedTokens is the prompt length, in tokens, from which the
	// coordinator places a prompt. For shorter prompts a bad placement costs
	// less than the round trip to the coordinator.
	MinCoordinatedTokens = 1500
	// peerSendTTL bounds how long a prompt placed for another gateway is
	// counted when that gateway does not report its end.
	peerSendTTL = 10 * time.Second
	// coordinatorWarmUp is how long a table must have placed all long prompts
	// before it assumes that parts it has not placed are not cached anywhere.
	// Most prompt parts recur within this time.
	coordinatorWarmUp = 6 * time.Second
)

// peerSendKey identifies a prompt placed for another gateway.
type peerSendKey struct {
	gateway string
	number  uint64
}

// peerSend is a prompt placed for another gateway that has not ended yet.
type peerSend struct {
	send    *InFlightSend
	expires time.Duration
}

// SetCoordinatorSince sets the time since when this table has placed all long
// prompts of the service. A negative time means that it is not the coordinator.
func (t *Table) SetCoordinatorSince(now, since time.Duration) {
	t.knowsAllCaches = since >= 0 && now-since >= coordinatorWarmUp
}

// PlaceForPeer chooses the servers for a prompt of another gateway, which
// identifies the prompt by a number, and counts the prompt as in flight until
// RecordPeerPrefillEnd or a timeout. The error is ErrNoServer if no server is
// usable.
func (t *Table) PlaceForPeer(now time.Duration, gateway string, number uint64, r Request) (Choice, error) {
	t.expirePeerSends(now)
	c, err := t.Choose(now, r)
	if err != nil {
		return c, err
	}
	send := Send{
		ServerID: c.Server.ID, UncachedTokens: c.UncachedTokens, PromptTokens: r.PromptTokens, Parts: r.Parts,
		Priority: c.Priority, TimeToFirstEvent: c.TimeToFirstEvent, FetchFrom: c.FetchFrom,
	}
	if c.Split {
		send.ServerID, send.TimeToFirstEvent = c.PrefillServer.ID, c.TimeToPrefilled
	}
	key := peerSendKey{gateway, number}
	t.endPeerSend(now, key)
	t.peerSends[key] = &peerSend{send: t.RecordSend(now, send), expires: now + peerSendTTL}
	return c, nil
}

// RecordPeerPrefillEnd records the end of the prefill of a prompt placed for another
// gateway. prefilled is false if the prefill failed or was cancelled.
func (t *Table) RecordPeerPrefillEnd(now time.Duration, gateway string, number uint64, prefilled bool) {
	key := peerSendKey{gateway, number}
	if p, ok := t.peerSends[key]; ok && prefilled {
		t.RecordPrefilled(now, p.send)
	}
	t.endPeerSend(now, key)
}

// endPeerSend stops counting a prompt placed for another gateway.
func (t *Table) endPeerSend(now time.Duration, key peerSendKey) {
	p, ok := t.peerSends[key]
	if !ok {
		return
	}
	t.RecordEnd(now, p.send)
	delete(t.peerSends, key)
}

// expirePeerSends drops the prompts whose gateway has not reported their end in
// time.
func (t *Table) expirePeerSends(now time.Duration) {
	for key, p := range t.peerSends {
		if now >= p.expires {
			t.endPeerSend(now, key)
		}
	}
}
