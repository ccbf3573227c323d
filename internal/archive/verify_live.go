package archive

import (
	"strings"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// kindChecks says how the keys of each kind are checked.
var kindChecks = map[string]func(v *verifier, it wire.KeyValue, k *KindStats){
	store.KindBatch:           (*verifier).checkBatch,
	store.KindJob:             (*verifier).checkStandaloneJob,
	store.KindRecent:          (*verifier).checkRecentBlock,
	store.KindArchive:         (*verifier).checkArchiveBlock,
	store.KindLedger:          checkDecodes[store.SegmentRecord],
	store.KindLeader:          (*verifier).checkLeader,
	store.KindFencingToken:    (*verifier).checkFencingToken,
	store.KindFormat:          (*verifier).checkFormat,
	store.KindSharding:        checkDecodes[store.ShardingRecord],
	store.KindQuotaGrant:      checkDecodes[store.QuotaGrantRecord],
	store.KindTiers:           checkDecodes[store.TiersRecord],
	store.KindSubmissionFence: func(*verifier, wire.KeyValue, *KindStats) {},
	store.KindMachineTypes:    func(*verifier, wire.KeyValue, *KindStats) {},
}

// checkItem counts and checks a key.
func (v *verifier) checkItem(it wire.KeyValue) {
	kind := store.Kind(it.Key)
	k := v.Kinds[kind]
	if k == nil {
		k = &KindStats{Oldest: it.Version}
		v.Kinds[kind] = k
	}
	k.add(it)
	check := kindChecks[kind]
	if check == nil {
		v.addProblem(it.Key, "of an unknown kind")
		return
	}
	check(v, it, k)
}

func (v *verifier) checkBatch(it wire.KeyValue, k *KindStats) {
	rec, ok := decode[store.BatchRecord](v, it)
	if !ok {
		return
	}
	k.Jobs += len(rec.Jobs)
	for id, job := range rec.Jobs {
		v.checkBatchJob(it.Key, id, job)
	}
}

func (v *verifier) checkStandaloneJob(it wire.KeyValue, k *KindStats) {
	if rec, ok := decode[store.JobRecord](v, it); ok {
		k.Jobs++
		v.checkBatchJob(it.Key, strings.TrimPrefix(it.Key, store.JobKey("")), rec)
	}
}

func (v *verifier) checkLeader(it wire.KeyValue, _ *KindStats) {
	if rec, ok := decode[store.LeaderRecord](v, it); ok {
		v.FencingToken = max(v.FencingToken, rec.FencingToken)
	}
}

// checkFencingToken checks the counter of fencing tokens. It comes after the leaders' records
// in the order of keys, and must not be lower than any of their tokens.
func (v *verifier) checkFencingToken(it wire.KeyValue, _ *KindStats) {
	token, ok := decode[uint64](v, it)
	if !ok {
		return
	}
	if token < v.FencingToken {
		v.addProblem(it.Key, "the counter of terms is %d, a part is held with term %d", token, v.FencingToken)
	}
	v.FencingToken = max(v.FencingToken, token)
}

func (v *verifier) checkFormat(it wire.KeyValue, _ *KindStats) {
	rec, ok := decode[store.FormatRecord](v, it)
	if !ok {
		return
	}
	v.Format = rec.Format
	switch {
	case rec.Import != "":
		v.addProblem(it.Key, "an import was not finished")
	case rec.Format > store.FormatSharded:
		v.addProblem(it.Key, "written by a newer version: format %d, at most %d is understood", rec.Format, store.FormatSharded)
	}
}

// checkBatchJob takes what a batch says of a job.
func (v *verifier) checkBatchJob(key, id string, job store.JobRecord) {
	switch {
	case !wire.ValidJobID(id):
		v.addProblem(key, "%q is not the id of a job", id)
	case job.Stage.Final():
		v.recordEnd(key, id, job.Stage)
	case job.Job == nil:
		v.addProblem(key, "job %s is %q and has no description", id, job.Stage)
	default:
		v.live[id] = key
	}
}
