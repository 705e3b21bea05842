package gateway

import "github.com/marigoldwing/marigoldwing/internal/placement"

// maxSharedParts bounds the parts of a prompt that are compared with others.
const maxSharedParts = 32

// sharedParts returns the parts of a prompt that other prompts may have as well:
// all but the last one, which belongs to the request or its session.
func sharedParts(parts []placement.PromptPart) []placement.PromptPart {
	if len(parts) == 0 {
		return nil
	}
	return parts[:min(len(parts)-1, maxSharedParts)]
}

func partIDs(parts []placement.PromptPart) []string {
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return ids
}
