// SPDX-License-Identifier: MIT

// Package membudget bounds the bytes that an instance holds for clients and endpoints that read
// slowly.
//
// A [Budget] is that of the instance, and an [Account] the part of one request. The methods of
// both accept a nil receiver, which stands for no limit.
package membudget
