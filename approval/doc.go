// Package approval commits a planned change in one transaction that counts it against the budget under the lease's epoch.
package approval
