package config

import (
	"slices"
	"strings"
)

// replacement is the new value of a named object, nil if it is removed.
type replacement[T any] struct {
	name  string
	value *T
}

// replacements are the new values that one change gives to named objects, in
// the order of its operations. Most changes have one, so a map is built only
// from mapThreshold on.
type replacements[T any] struct {
	list   []replacement[T]
	byName map[string]int
}

// mapThreshold is the number of replacements from which a map pays off.
const mapThreshold = 16

func (r *replacements[T]) index(name string) (int, bool) {
	if r.byName != nil {
		i, ok := r.byName[name]
		return i, ok
	}
	for i := range r.list {
		if r.list[i].name == name {
			return i, true
		}
	}
	return 0, false
}

// get returns the new value of an object, and whether it has one.
func (r *replacements[T]) get(name string) (*T, bool) {
	if i, ok := r.index(name); ok {
		return r.list[i].value, true
	}
	return nil, false
}

func (r *replacements[T]) set(name string, value *T) {
	if i, ok := r.index(name); ok {
		r.list[i].value = value
		return
	}
	r.list = append(r.list, replacement[T]{name, value})
	switch {
	case r.byName != nil:
		r.byName[name] = len(r.list) - 1
	case len(r.list) == mapThreshold:
		r.byName = make(map[string]int, 2*mapThreshold)
		for i := range r.list {
			r.byName[r.list[i].name] = i
		}
	}
}

// sorted returns the replacements sorted by name, so that the first error
// found does not depend on the order of operations.
func (r *replacements[T]) sorted() []replacement[T] {
	if len(r.list) < 2 {
		return r.list
	}
	out := slices.Clone(r.list)
	slices.SortFunc(out, func(a, b replacement[T]) int { return strings.Compare(a.name, b.name) })
	return out
}

// countAfter returns the number of objects after the replacements.
func (r *replacements[T]) countAfter(now map[string]T) int {
	n := len(now)
	for _, x := range r.list {
		_, exists := now[x.name]
		switch {
		case x.value != nil && !exists:
			n++
		case x.value == nil && exists:
			n--
		}
	}
	return n
}

// overlay applies the replacements to base.
func (r *replacements[T]) overlay(base map[string]T) {
	for _, x := range r.list {
		if x.value == nil {
			delete(base, x.name)
			continue
		}
		base[x.name] = *x.value
	}
}
