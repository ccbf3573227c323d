package simulator

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// ObserveAnswer is called with each answer to a user, whose request and answer are taken to have
// no duration. cancelRequested is true if this user has asked to cancel the job.
func (c *Checker) ObserveAnswer(id string, status int, stage wire.Stage, asked bool) {
	now := time.Now()
	c.ObserveAnswerAt(id, status, stage, asked, now, now)
}

// answerTimes keeps the times by which answers about a job were given, to recognise answers that
// contradict earlier ones.
type answerTimes struct {
	firstAccepted, firstFinal time.Time // the answer that said so first
	lastNonFinal              time.Time // the last question that was answered otherwise
}

// ObserveAnswerAt is ObserveAnswer with the times at which the request was sent and answered:
// answers to overlapping requests may contradict each other.
func (c *Checker) ObserveAnswerAt(id string, status int, stage wire.Stage, asked bool, sent, back time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, before := c.submitted[id], c.lastStage[id]
	if c.answerTimes[id] == nil {
		c.answerTimes[id] = &answerTimes{}
	}
	o := c.answerTimes[id]
	c.cancelRequested[id] = c.cancelRequested[id] || asked
	switch {
	case j == nil && status == 200:
		c.recordViolation("invented", "%s", id)
	case before != "" && !sent.Before(o.firstAccepted) && (status == 404 || status == 400 || status == 422):
		c.recordViolation("forgotten", "%s: %d", id, status)
	}
	if j == nil || status != 200 && status != 201 {
		return
	}
	if o.firstAccepted.IsZero() || back.Before(o.firstAccepted) {
		o.firstAccepted = back
	}
	if before.Final() && !stage.Final() && sent.Before(o.firstFinal) {
		return // the request was sent before the end was reported
	}
	if o.contradicts(before, stage, back) || stage == wire.Cancelled && !asked {
		c.recordViolation("went_back", "%s was %s, is called %s", id, before, stage)
	}
	if !stage.Final() {
		o.lastNonFinal = latest(o.lastNonFinal, sent)
	} else if o.firstFinal.IsZero() || back.Before(o.firstFinal) {
		o.firstFinal = back
	}
	c.recordStage(j, before, stage)
}

// contradicts reports whether a stage, answered at a time, contradicts the one that was reported
// before.
func (o *answerTimes) contradicts(before, stage wire.Stage, back time.Time) bool {
	return before.Final() && stage != before || stage.Final() && !before.Final() && o.lastNonFinal.After(back)
}

// recordStage records the stage that was answered for a job: one that is done may have no task left, one
// that is cancelled may start none.
func (c *Checker) recordStage(j *wire.Job, before, stage wire.Stage) {
	if stage == wire.Done {
		for i := range j.Tasks {
			if !c.finished[wire.TaskID{Job: j.ID, Index: i}] {
				c.recordViolation("not_done", "%s/%d", j.ID, i)
			}
		}
	}
	if stage == wire.Cancelled && before != wire.Cancelled {
		c.cancelled[j.ID] = time.Now()
		c.Launches.Cancelled(time.Now(), j.ID)
	}
	c.lastStage[j.ID] = stage
}
