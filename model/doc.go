// Package model contains simulation models of deployments, machines, demand and request traffic, which run in virtual time.
package model
