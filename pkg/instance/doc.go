// Package instance builds the duties of one proxy instance, joins them by
// rings and starts and stops them.
package instance
