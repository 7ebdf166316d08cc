// Package splitter finds the values within a JSON text without decoding them.
//
// encoding/json takes a text as a whole or not at all: one value that is nested deeper than
// it allows, or that holds a token such as NaN, makes the text around it unreadable. With
// this package the text around is read first, and each value is decoded by itself.
//
// A value's extent follows from its brackets and quotes alone. It is found in one pass over
// the bytes, without recursion and without memory that grows with the nesting. What lies
// between the brackets is not checked; Valid does that.
//
// # Usage
//
//	err := splitter.Members(body, func(name, value []byte) error {
//		if string(name) != "items" {
//			return nil
//		}
//		return splitter.Elements(value, func(item []byte) error {
//			items = append(items, item)
//			return nil
//		})
//	})
package splitter
