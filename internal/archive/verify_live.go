package archive

import (
	"strings"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// kindChecks has the check for the keys of each kind.
var kindChecks = map[string]func(v *verifier, item wire.KeyValue, k *KindStats){
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

// checkItem counts a key under its kind and runs the check for that kind.
func (v *verifier) checkItem(item wire.KeyValue) {
	kind := store.Kind(item.Key)
	k := v.Kinds[kind]
	if k == nil {
		k = &KindStats{Oldest: item.Version}
		v.Kinds[kind] = k
	}
	k.add(item)
	check := kindChecks[kind]
	if check == nil {
		v.addProblem(item.Key, "of an unknown kind")
		return
	}
	check(v, item, k)
}

func (v *verifier) checkBatch(item wire.KeyValue, k *KindStats) {
	rec, ok := decode[store.BatchRecord](v, item)
	if !ok {
		return
	}
	k.Jobs += len(rec.Jobs)
	for id, job := range rec.Jobs {
		v.checkBatchJob(item.Key, id, job)
	}
}

func (v *verifier) checkStandaloneJob(item wire.KeyValue, k *KindStats) {
	if rec, ok := decode[store.JobRecord](v, item); ok {
		k.Jobs++
		v.checkBatchJob(item.Key, strings.TrimPrefix(item.Key, store.JobKey("")), rec)
	}
}

func (v *verifier) checkLeader(item wire.KeyValue, _ *KindStats) {
	if rec, ok := decode[store.LeaderRecord](v, item); ok {
		v.FencingToken = max(v.FencingToken, rec.FencingToken)
	}
}

// checkFencingToken checks that the fencing token counter is not lower than the token of any
// leader. Its key sorts after those of the leader records, so these have been checked before.
func (v *verifier) checkFencingToken(item wire.KeyValue, _ *KindStats) {
	token, ok := decode[uint64](v, item)
	if !ok {
		return
	}
	if token < v.FencingToken {
		v.addProblem(item.Key, "the counter of terms is %d, a part is held with term %d", token, v.FencingToken)
	}
	v.FencingToken = max(v.FencingToken, token)
}

func (v *verifier) checkFormat(item wire.KeyValue, _ *KindStats) {
	rec, ok := decode[store.FormatRecord](v, item)
	if !ok {
		return
	}
	v.Format = rec.Format
	switch {
	case rec.Import != "":
		v.addProblem(item.Key, "an import was not finished")
	case rec.Format > store.FormatSharded:
		v.addProblem(item.Key, "written by a newer version: format %d, at most %d is understood", rec.Format, store.FormatSharded)
	}
}

// checkBatchJob checks the record of a job in a batch or under its own key.
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
