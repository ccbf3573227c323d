package quota

import (
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
)

// resourcesOf converts a grant of the record to the resources that the scheduler works with.
func resourcesOf(g store.QuotaGrant) scheduler.Resources {
	return scheduler.Resources{CPUs: g.CPUs, GPUs: g.GPUs}
}

// grantOf converts resources to a grant of the record, which covers CPUs and GPUs only.
func grantOf(r scheduler.Resources) store.QuotaGrant {
	return store.QuotaGrant{CPUs: r.CPUs, GPUs: r.GPUs}
}

// minResources returns the smaller amount of CPUs and of GPUs.
func minResources(a, b scheduler.Resources) scheduler.Resources {
	return scheduler.Resources{CPUs: min(a.CPUs, b.CPUs), GPUs: min(a.GPUs, b.GPUs)}
}
