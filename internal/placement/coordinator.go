package placement

import "time"

// A gateway that places the long prompts of all gateways knows what each engine
// still has to prefill, and what it has read, without the delay of news. The
// load that this answers is a burst of long prompts at gateways that each see
// few of them.

const (
	// MinCoordinatedTokens is the prompt from which one gateway places for all: a
	// choice that is wrong costs more than the question.
	MinCoordinatedTokens = 1500
	// placedLife bounds how long a placed prompt counts whose end is not told.
	placedLife = 10 * time.Second
	// knowsAllAfter is how long a table must have placed all prompts until it
	// takes those that it has not placed for unread: most parts of prompts come
	// again within it.
	knowsAllAfter = 6 * time.Second
)

// placedKey names a prompt that was placed for another gateway.
type placedKey struct {
	gateway string
	number  uint64
}

// placedSend is such a prompt until its end.
type placedSend struct {
	ticket  *InFlightSend
	expires time.Duration
}

// SetCoordinatorSince says since when this table has placed all long prompts of
// the service; negative if it does not.
func (t *Table) SetCoordinatorSince(now, since time.Duration) {
	t.knowsAll = since >= 0 && now-since >= knowsAllAfter
}

// PlaceForPeer chooses for another gateway, which gives the prompt a number, and takes
// the send in.
func (t *Table) PlaceForPeer(now time.Duration, gateway string, number uint64, r Request) (Choice, error) {
	t.expirePlaced(now)
	c, err := t.Choose(now, r)
	if err != nil {
		return c, err
	}
	send := Send{
		ServerID: c.Server.ID, UncachedTokens: c.UncachedTokens, PromptTokens: r.PromptTokens, Parts: r.Parts,
		Deferred: c.Deferred, TimeToFirstEvent: c.TimeToFirstEvent, FetchFrom: c.FetchFrom,
	}
	if c.Split {
		send.ServerID, send.TimeToFirstEvent = c.PrefillServer.ID, c.TimeToPrefilled
	}
	key := placedKey{gateway, number}
	t.dropPlaced(key)
	t.placed[key] = &placedSend{ticket: t.RecordSend(now, send), expires: now + placedLife}
	return c, nil
}

// RecordPlacedEnd takes in that a prompt placed for another gateway has been
// prefilled, or will not be.
func (t *Table) RecordPlacedEnd(now time.Duration, gateway string, number uint64, prefilled bool) {
	key := placedKey{gateway, number}
	if p, ok := t.placed[key]; ok && prefilled {
		t.RecordPrefilled(now, p.ticket)
	}
	t.dropPlaced(key)
}

func (t *Table) dropPlaced(key placedKey) {
	p, ok := t.placed[key]
	if !ok {
		return
	}
	t.RecordEnd(p.ticket)
	delete(t.placed, key)
}

// expirePlaced drops the prompts whose gateway has not told of their end.
func (t *Table) expirePlaced(now time.Duration) {
	for key, p := range t.placed {
		if now >= p.expires {
			t.dropPlaced(key)
		}
	}
}
