// Package auditor reads the logs of processes and tells where requests were lost.
//
// Without it an operator who is told that bookings failed at noon has some hundred
// thousand lines, each of one decision. The audit puts together what callers got, by
// group and span of time: how many requests were answered in their objective, late,
// refused and why, or in doubt; what share of reads replicas ran; and for how long no
// write was acknowledged, with what a change of leader spent that time on.
//
// # Usage
//
//	var a auditor.Audit
//	if err := a.Read(file); err != nil {
//		return err
//	}
//	report := a.Report()
package auditor
