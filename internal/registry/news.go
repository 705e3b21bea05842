package registry

// SetGatewayCount has the follower wait longer for watches, as others tell it
// of news. It is called before Run.
func (f *Follower) SetGatewayCount(count func() int) { f.companions = count }

// SetOnChange has a function called after each change, to tell others. It is
// called before Run.
func (f *Follower) SetOnChange(news func()) { f.news = news }

// Versions returns the configuration version in force and the revision of the
// newest change of the registrations.
func (f *Follower) Versions() (version int64, changedAt uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config != nil {
		version = f.config.Version
	}
	return version, f.changedAt
}

// ObservePeerVersions takes in what another gateway knows. News that has not come through
// the own watch is read from the store.
func (f *Follower) ObservePeerVersions(version int64, changedAt uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.toldVersion = max(f.toldVersion, version)
	f.toldChange = max(f.toldChange, changedAt)
	if f.behind(kindConfig) {
		wake(f.relist[kindConfig])
	}
	if f.behind(kindServers) {
		wake(f.relist[kindServers])
	}
}

// behind tells whether another gateway knows news; f.mu is held.
func (f *Follower) behind(kind string) bool {
	if kind == kindConfig {
		return f.config != nil && f.toldVersion > f.config.Version
	}
	return f.toldChange > f.known
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
