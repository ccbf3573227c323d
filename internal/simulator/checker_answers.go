package simulator

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// ObserveAnswer checks an answer to a user as if the request had been sent and answered just now.
// cancelRequested is true if this user has asked to cancel the job.
func (c *Checker) ObserveAnswer(id string, status int, stage wire.Stage, cancelRequested bool) {
	now := time.Now()
	c.ObserveAnswerAt(id, status, stage, cancelRequested, now, now)
}

// answerTimes holds the times that are needed to recognise an answer about a job that contradicts
// an earlier one.
type answerTimes struct {
	firstAccepted, firstFinal time.Time // when the first answer that said so arrived
	lastNonFinal              time.Time // when the last request that got a non-final stage was sent
}

// ObserveAnswerAt checks an answer to a request that was sent and answered at the given times:
// answers to overlapping requests may contradict each other.
func (c *Checker) ObserveAnswerAt(id string, status int, stage wire.Stage, cancelRequested bool, sentAt, answeredAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, previous := c.submitted[id], c.lastStage[id]
	if c.answerTimes[id] == nil {
		c.answerTimes[id] = &answerTimes{}
	}
	times := c.answerTimes[id]
	c.cancelRequested[id] = c.cancelRequested[id] || cancelRequested
	switch {
	case job == nil && status == 200:
		c.recordViolation("invented", "%s", id)
	case previous != "" && !sentAt.Before(times.firstAccepted) && (status == 404 || status == 400 || status == 422):
		c.recordViolation("forgotten", "%s: %d", id, status)
	}
	if job == nil || status != 200 && status != 201 {
		return
	}
	if times.firstAccepted.IsZero() || answeredAt.Before(times.firstAccepted) {
		times.firstAccepted = answeredAt
	}
	if previous.Final() && !stage.Final() && sentAt.Before(times.firstFinal) {
		return // the request was sent before the end was reported
	}
	if times.contradicts(previous, stage, answeredAt) || stage == wire.Cancelled && !cancelRequested {
		c.recordViolation("went_back", "%s was %s, is called %s", id, previous, stage)
	}
	if !stage.Final() {
		times.lastNonFinal = latest(times.lastNonFinal, sentAt)
	} else if times.firstFinal.IsZero() || answeredAt.Before(times.firstFinal) {
		times.firstFinal = answeredAt
	}
	c.recordStage(job, previous, stage)
}

// contradicts reports whether a stage that was answered at a given time contradicts the previously
// answered one.
func (t *answerTimes) contradicts(previous, stage wire.Stage, answeredAt time.Time) bool {
	return previous.Final() && stage != previous || stage.Final() && !previous.Final() && t.lastNonFinal.After(answeredAt)
}

// recordStage records the stage that was answered for a job. All tasks of a job that is done must have
// completed; a cancelled job may start no more tasks.
func (c *Checker) recordStage(job *wire.Job, previous, stage wire.Stage) {
	if stage == wire.Done {
		for i := range job.Tasks {
			if !c.finished[wire.TaskID{Job: job.ID, Index: i}] {
				c.recordViolation("not_done", "%s/%d", job.ID, i)
			}
		}
	}
	if stage == wire.Cancelled && previous != wire.Cancelled {
		c.cancelled[job.ID] = time.Now()
		c.Launches.Cancelled(time.Now(), job.ID)
	}
	c.lastStage[job.ID] = stage
}
