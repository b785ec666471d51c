package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// HTTPNames are the header names of the platform, and the path of the readiness
// check.
type HTTPNames struct {
	RequestID   string
	TimeLeft    string // in milliseconds
	Target      string
	Signature   string
	NotExecuted string
	ServerLoad  string
	ServerLimit string
	Leaving     string
	Key         string
	ReadyPath   string
}

// Record is an entry of a topic that keeps the newest record of each key.
type Record struct {
	Key   string
	Value []byte
	// Offset is the place of the record in its topic; it is not used in appends.
	Offset int64
}

// ErrOutdated is returned by an append whose condition no longer holds.
var ErrOutdated = eris.New("the store has newer records")

// ErrRestored is returned by a call that relies on a position of an earlier era: the
// store has been restored from a copy since. An append may have taken effect.
var ErrRestored = eris.New("the store was restored from a copy")

// ErrRefused is returned by a call that was refused and had no effect.
var ErrRefused = eris.New("the call was refused")

// ErrFenced is returned by a grant that the server refused because it has seen a
// higher fence.
var ErrFenced = eris.New("the server has seen a higher fence")

// ErrWrongServer is returned by a call to which another server responded: the
// intended one has stopped, and its address was reused.
var ErrWrongServer = eris.New("another server has the address")

// Position is an offset of a topic in one era of the store. An era ends when the store
// is restored from a copy: it then lacks the newest records, and their offsets are
// given out again. The zero Position precedes all records of all eras.
type Position struct {
	Era, Offset int64
}

// FirstEra is the era of a store that was never restored.
const FirstEra = 1

// ServerChange is a registration, or the end of one if Server is nil.
type ServerChange struct {
	ID     topology.ServerID
	Server *fleet.Server
	// Offset is the place of the record in the topic of the registrations.
	Offset int64
}

// ServerChanges is the result of one read of the registrations.
type ServerChanges struct {
	// Full is true if Changes holds all registrations.
	Full    bool
	Changes []ServerChange
	Next    Position
}

// OperatorChanges is the result of one read of what the operator has written.
type OperatorChanges struct {
	// Config is the newest configuration; nil if it did not change.
	Config *fleet.Config
	// Full is true if Evacuations holds all evacuations in force.
	Full        bool
	Evacuations []fleet.EvacuationChange // in the order of the changes
	Next        Position
}

// Store is the platform's store. All calls are linearizable within an era. A call
// that returns an error may have been carried out, or may be carried out seconds
// later if its condition still holds.
type Store interface {
	// OperatorChanges waits, at most for wait, until the operator changes the
	// configuration or the evacuations after position from, and returns what has
	// changed. If from is zero or its era has ended, it returns the present
	// configuration and all evacuations at once.
	OperatorChanges(ctx context.Context, from Position, wait time.Duration) (OperatorChanges, error)
	// ConfigRecords returns the records that the configuration last read or adopted
	// consists of, and the position up to which they were read; zero if there is none.
	ConfigRecords() ([]Record, Position)
	// AdoptConfig takes records that another host has read instead of reading them, and
	// returns what they hold, as a read of all records does.
	AdoptConfig(records []Record, position Position) OperatorChanges
	// ServerChanges returns the registrations that changed since position from,
	// or all if from is zero or its era has ended.
	ServerChanges(ctx context.Context, from Position) (ServerChanges, error)
	// Owners returns the ownership records and the end of their topic.
	Owners(ctx context.Context) ([]Record, Position, error)
	// OwnersEnd waits until the ownership topic has records after position
	// from, at most for wait, and returns its end. It returns ErrRestored if
	// the era of from has ended.
	OwnersEnd(ctx context.Context, from Position, wait time.Duration) (Position, error)
	// OwnersSince is OwnersEnd that also returns the records after position from.
	OwnersSince(ctx context.Context, from Position, wait time.Duration) ([]Record, Position, error)
	// Append adds ownership records if their topic ends at position at, and
	// returns its new end. It returns ErrRestored if the era of at has ended;
	// the records are then stored if the topic ended at the same offset.
	Append(ctx context.Context, at Position, records []Record) (Position, error)
	// Join makes the member part of the leader's group for ttl. It takes the
	// generation that its last call returned and returns the new one.
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error)
	// Leave ends the membership in the leader's group.
	Leave(ctx context.Context, member string) error
	// Members returns the members of the leader's group.
	Members(ctx context.Context) ([]string, error)
}

// GrantClient sends the leader's grants and releases to servers.
type GrantClient interface {
	Grant(ctx context.Context, o ownership.Order, duration time.Duration) error
	Release(ctx context.Context, o ownership.Order) (handover string, err error)
}
