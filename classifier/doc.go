// Package classifier says what a piece of SQL text does, so far as a proxy must
// know: whether it is provably a read, whether it opens or ends a transaction,
// which setting it changes.
//
// The rule is one-sided. A [Read] is proven: it begins like a query, has no
// locking clause, no INTO, no word that changes data, and calls nothing but
// functions of a fixed list. Whatever is not proven is a [Write] and goes to the
// primary, which costs speed and never a wrong answer. What the text can't show
// (a view, operator, cast or attribute that calls a function that writes, a
// user's function with the name of a listed one) is caught by the replica: it
// refuses the write with SQLSTATE 25006, which proves that it did not run.
//
// The text is read byte by byte as PostgreSQL reads it: comments (nested too),
// quoted names, strings, E” strings and dollar quotes. The encoding must keep
// ASCII bytes for ASCII characters, as UTF-8 does. A string that PostgreSQL would
// cut differently with standard_conforming_strings off makes the text a Write.
//
// Nothing is allocated: names and values in a [Statement] are parts of the text
// and live as long as it does.
//
// # Usage
//
//	st := classifier.Classify(text)
//	switch {
//	case st.Kind == classifier.Read:
//		// May go to a replica.
//	case st.Kind == classifier.Set && st.Local:
//		// Belongs to the open transaction.
//	case st.Kind == classifier.Multi:
//		for rest := text; len(rest) > 0; {
//			st, rest = classifier.Next(rest)
//		}
//	}
package classifier
