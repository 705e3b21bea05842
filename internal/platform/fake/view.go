package fake

import (
	"maps"
	"sort"

	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// view is the content of the store at one version.
type view struct {
	version uint64
	objects map[platform.Key]platform.Object
	// deleted holds the version at which a key was last deleted.
	deleted map[platform.Key]uint64
}

func newView() view {
	return view{
		objects: make(map[platform.Key]platform.Object),
		deleted: make(map[platform.Key]uint64),
	}
}

func (v *view) clone() view {
	return view{version: v.version, objects: maps.Clone(v.objects), deleted: maps.Clone(v.deleted)}
}

// apply changes the view by one event that took effect at version.
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

// since returns the latest event of each key of a kind after a version.
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
			gone := platform.Object{Key: key, Version: at}
			events.Events = append(events.Events, platform.Event{Object: gone, Deleted: true})
		}
	}
	sort.Slice(events.Events, func(i, j int) bool {
		return events.Events[i].Object.Version < events.Events[j].Object.Version
	})
	return events
}

func copyObject(obj platform.Object) platform.Object {
	obj.Value = append([]byte(nil), obj.Value...)
	return obj
}
