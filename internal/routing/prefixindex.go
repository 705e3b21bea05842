package routing

import "slices"

// prefixIndex maps prefix blocks to the engines expected to have them cached.
// When it is full, it drops the block that was added first.
type prefixIndex struct {
	maxBlocks int
	holders   map[uint64][]*engineState
	// ring holds the blocks in the order in which they were added. oldest is
	// the index of the block to be dropped next, once the ring is full.
	ring   []uint64
	oldest int
}

// maxHolders bounds the number of engines stored for one block.
const maxHolders = 16

// newPrefixIndex returns an empty index for up to limit blocks. Zero disables
// it.
func newPrefixIndex(limit int) prefixIndex {
	return prefixIndex{maxBlocks: limit, holders: make(map[uint64][]*engineState)}
}

func (p *prefixIndex) add(block uint64, e *engineState) {
	if p.maxBlocks <= 0 {
		return
	}
	holders, known := p.holders[block]
	if slices.Contains(holders, e) {
		return
	}
	if !known {
		p.insert(block)
	}
	if len(holders) >= maxHolders {
		holders = slices.Delete(holders, 0, 1)
	}
	p.holders[block] = append(holders, e)
}

// insert adds a new block and drops the oldest one if the index is full.
func (p *prefixIndex) insert(block uint64) {
	if len(p.ring) < p.maxBlocks {
		p.ring = append(p.ring, block)
		return
	}
	delete(p.holders, p.ring[p.oldest])
	p.ring[p.oldest] = block
	p.oldest = (p.oldest + 1) % p.maxBlocks
}

// remove removes an engine from the holders of a block. The block keeps its
// place in the ring.
func (p *prefixIndex) remove(block uint64, e *engineState) {
	holders, known := p.holders[block]
	if !known {
		return
	}
	p.holders[block] = slices.DeleteFunc(holders, func(o *engineState) bool { return o == e })
}

// cachedBlocks returns the number of blocks of the longest prefix that e is
// expected to have cached.
func (p *prefixIndex) cachedBlocks(prefix []uint64, e *engineState) int {
	for i := len(prefix); i > 0; i-- {
		if slices.Contains(p.holders[prefix[i-1]], e) {
			return i
		}
	}
	return 0
}

// longestPrefixHolders returns the engines expected to have cached the longest
// prefix that is known from any engine.
func (p *prefixIndex) longestPrefixHolders(prefix []uint64) []*engineState {
	for i := len(prefix); i > 0; i-- {
		if holders := p.holders[prefix[i-1]]; len(holders) > 0 {
			return holders
		}
	}
	return nil
}
