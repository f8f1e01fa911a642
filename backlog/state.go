package backlog

// State is the room for jobs that the leader publishes. It is nil while there is plenty. A published State is not changed.
type State struct {
	Room
	// Sources holds the sources with less room than others.
	Sources []SourceRoom `json:",omitempty"`
}

// SourceRoom is the room of one source.
type SourceRoom struct {
	Source
	Room
}

// Room is the memory that new jobs may take, and how fast it becomes free.
type Room struct {
	Free           int64 // bytes
	FreedPerSecond int64 // bytes that ended and expired jobs have freed each second lately
}

// of returns the room of a source.
func (s *State) of(source Source) Room {
	for _, listed := range s.Sources {
		if listed.Source == source {
			return listed.Room
		}
	}
	return s.Room
}
