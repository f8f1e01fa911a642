// Package ingress bounds the memory and the connections that requests on their way in may take, over all listeners of a process.
package ingress
