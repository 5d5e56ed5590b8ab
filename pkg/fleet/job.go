package fleet

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// Job is a call for the worker. Its kind determines which fields are used.
type Job struct {
	Kind  JobKind
	Group core.DatabaseName
	// NewToken makes JobClaim take a new fencing token if this instance holds the claim
	// already.
	NewToken bool
	// Claim is used by JobPromote and JobRevoke, as is Succession, which JobPromote
	// records if it names the member to promote.
	Claim      Claim
	Succession Succession
	// Targets are the replicas to survey, or the members to command.
	Targets []Target
	// Primary is the primary that the positions of replicas are compared with, in
	// JobCatchUp and in a JobSurvey whose replicas all have to respond. In a JobSurvey
	// with a Term it is the old primary, which steps down first if it responds.
	Primary Target
	// Others are the replicas that JobCatchUp pauses.
	Others []Target
	// Lapsed are replicas whose records have ended. Those that respond are paused by
	// JobCatchUp, and by a JobSurvey with a Term, which reports their states as well.
	Lapsed []Target
	// Term is used by JobStepDown, where 0 stands for the term after the member's, by
	// JobSurvey if the replicas have to stop receiving first, by JobCatchUp, and by
	// JobRecordTerm, for which it is the least term of the new primary.
	Term core.Term
	// Replaces is the revision of the record that JobRecordTerm replaces, 0 for none.
	Replaces Revision
}

// JobKind is the kind of call that a job makes.
type JobKind uint8

// Kinds of jobs.
const (
	// JobClaim takes the claim of a group.
	JobClaim JobKind = iota
	// JobSurvey asks the replicas for their log positions.
	JobSurvey
	// JobCatchUp pauses the other replicas, so that commits wait for the one to promote,
	// and asks whether it has everything that the primary has committed until then.
	JobCatchUp
	// JobPromote requests the promotion of a replica.
	JobPromote
	// JobStepDown makes the old primary step down.
	JobStepDown
	// JobRevoke records in the store that the old primary must not be used.
	JobRevoke
	// JobMemberStatus asks a suspected primary for its status.
	JobMemberStatus
	// JobPause stops replicas from receiving.
	JobPause
	// JobResume lets paused replicas receive again.
	JobResume
	// JobRecordTerm asks a new primary for its term and records it in the store.
	JobRecordTerm
)

// JobDone is the result of a job.
type JobDone struct {
	Job Job
	// Claim is the result of JobClaim. States are the responses of the members that
	// the job called, Primary is that of Job.Primary.
	Claim   Claim
	States  []MemberState
	Primary MemberState
	// Err is nil, or one of the errors of Registry and MemberControl.
	Err error
}

func (JobDone) fleetInput() {}
