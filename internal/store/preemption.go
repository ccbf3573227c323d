package store

import (
	"slices"
	"strings"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// Room that is claimed back for a job is a record for each machine: what is stopped there is
// written before anything is said, and the next holder goes on with it.

// ClaimEntry gives the entry of room that is claimed back for a job.
func ClaimEntry(job string, r tier.Room) Entry {
	return Entry{claimKey(job, r.Machine), wire.Encode(r), entryBytes + len(job) + len(r.Machine) + r.Bytes()}
}

// DropClaim gives the entry that drops it.
func DropClaim(job, machine string) Entry {
	return Entry{Key: claimKey(job, machine), Size: entryBytes + len(job) + len(machine) + 8}
}

// HasClaim reports whether room on a machine is claimed back for a job.
func (l *Ledger) HasClaim(job, machine string) bool {
	_, ok := l.at[claimKey(job, machine)]
	return ok
}

func claimKey(job, machine string) string { return claimEntry + job + "/" + machine }

func (rec *Recalled) takeClaim(key, rest string, raw wire.Raw, null bool) Entry {
	job, machine, _ := strings.Cut(rest, "/")
	c := rec.Claims[job]
	if c == nil {
		c = &tier.Claim{}
		rec.Claims[job] = c
	}
	c.Rooms = slices.DeleteFunc(c.Rooms, func(r tier.Room) bool { return r.Machine == machine })
	var r tier.Room
	if null || wire.DecodeValue(raw, &r) != nil || r.Machine != machine {
		return Entry{Key: key}
	}
	c.Rooms = append(c.Rooms, r)
	return ClaimEntry(job, r)
}
