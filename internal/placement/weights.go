package placement

import "slices"

// RecordWeights records the version of the weights that a server has stated.
func (t *Table) RecordWeights(id, version string) {
	if s := t.find(id); s != nil {
		s.weights = version
	}
}

// mayHave reports whether the server may have a version of the weights, as far as is known.
func (s *server) mayHave(version string) bool {
	return version == "" || s.weights == "" || s.weights == version
}

// withWeights returns those of the servers that may have a version of the weights. If all are
// known to have another, it returns all: their weights may have changed since.
func withWeights(servers []*server, version string) []*server {
	mayHave := func(s *server) bool { return s.mayHave(version) }
	if !slices.ContainsFunc(servers, mayHave) {
		return servers
	}
	return slices.DeleteFunc(servers, func(s *server) bool { return !mayHave(s) })
}

// withSameWeights returns those of the servers that may continue from the KV cache of another.
func withSameWeights(servers []*server, source *server) []*server {
	lacks := func(s *server) bool { return !s.mayHave(source.weights) }
	if !slices.ContainsFunc(servers, lacks) {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), lacks)
}
