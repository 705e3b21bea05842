package fake

import (
	"maps"
	"sort"

	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// view is the content of a store at one version. It is not safe for concurrent
// use.
type view struct {
	version uint64
	objects map[platform.Key]platform.Object
	// deleted holds a tombstone for every deleted key: the version at which
	// it was last deleted.
	deleted map[platform.Key]uint64
}

func newView() view {
	return view{
		objects: make(map[platform.Key]platform.Object),
		deleted: make(map[platform.Key]uint64),
	}
}

// clone returns a copy of the view that shares the values of objects, which are
// never modified.
func (v *view) clone() view {
	return view{version: v.version, objects: maps.Clone(v.objects), deleted: maps.Clone(v.deleted)}
}

// apply applies an event that took effect at the given version.
func (v *view) apply(version uint64, ev platform.Event) {
	v.version = version
	key := ev.Object.Key
	if ev.Deleted {
		delete(v.objects, key)
		v.deleted[key] = version
		return
	}
	delete(v.deleted, key)
	obj := ev.Object
	obj.Version = version
	v.objects[key] = obj
}

// since returns the latest event after the given version for each key of a kind,
// ordered by version. A version higher than the view's returns all objects.
func (v *view) since(kind string, version uint64) platform.WatchResult {
	if version > v.version {
		version = 0
	}
	events := platform.WatchResult{NextVersion: v.version}
	for key, obj := range v.objects {
		if key.Kind == kind && obj.Version > version {
			events.Events = append(events.Events, platform.Event{Object: copyObject(obj)})
		}
	}
	for key, at := range v.deleted {
		if key.Kind == kind && at > version {
			deleted := platform.Object{Key: key, Version: at}
			events.Events = append(events.Events, platform.Event{Object: deleted, Deleted: true})
		}
	}
	sort.Slice(events.Events, func(i, j int) bool {
		return events.Events[i].Object.Version < events.Events[j].Object.Version
	})
	return events
}

// copyObject returns a copy of obj that does not share its value.
func copyObject(obj platform.Object) platform.Object {
	obj.Value = append([]byte(nil), obj.Value...)
	return obj
}
