// Package assessment assesses the health of instances from the reports of several entries and the platform's instance list.
package assessment
