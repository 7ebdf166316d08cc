// Package auditor reads the logs of processes and tells where requests were lost.
//
// Without it an operator who is told that bookings failed at noon has some hundred
// thousand lines, each of one decision. The audit puts together what callers got, by
// group and span of time: how many requests were answered in their objective, late,
// refused and why, or in doubt; what share of reads replicas ran; and for how long no
// write was acknowledged, with what a change of leader spent that time on.
//
// It also tells who used the upstreams: an audit by workspace, priority, group or gateway
// counts for each what became of its requests, and their share of the service time. Lines
// are counted as they are read, so that logs of any length can be audited.
//
// # Usage
//
//	var a auditor.Audit
//	if err := a.Read(file); err != nil {
//		return err
//	}
//	report := a.Report()
//
//	b := auditor.Audit{By: auditor.ByWorkspace} // read likewise
//	shares := b.Shares()
package auditor
