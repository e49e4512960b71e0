package host

import "golang.org/x/sys/unix"

// DescriptorLimit returns how many descriptors this process may have, or 0 if that cannot be read.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	const most = 1 << 20
	return int(min(limit.Cur, most))
}
