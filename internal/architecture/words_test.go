package architecture

import (
	"regexp"
	"slices"
	"strings"
	"unicode"
)

// retiredWord is a word that the project no longer uses, with its replacement.
//
// Forms are lower-case words or phrases. A form that ends with '*' stands for all words with this prefix. A phrase with a
// space matches successive words or parts of an identifier; a phrase with a hyphen matches only hyphenated words and parts of an
// identifier. A form that begins with '.' is for a word with a standard sense in prose: it matches only identifiers of code.
type retiredWord struct {
	Forms       []string
	Replacement string
}

// retiredWords lists the words that the project has replaced. It leaves out retired names that are also everyday words or
// standard terms: line, row, level, mark, sum, out, copy, look, list, report, usage.
var retiredWords = []retiredWord{
	{[]string{"flow", "flows"}, "request"},
	{[]string{"traffic group", "traffic groups"}, "traffic class"},
	{[]string{"utility", "utilities"}, "priority weight"},
	{[]string{"retriable"}, "idempotent"},
	{[]string{"deduped"}, "deduplicated"},
	{[]string{"let in", "lets in", "letting in"}, "admit"},
	{[]string{"turn away", "turns away", "turned away", "turning away"}, "reject"},
	{[]string{"throw out", "throws out", "thrown out", "throwing out"}, "eject"},
	{[]string{"withdraw*"}, "eject, ejection"},
	{[]string{"verdict*"}, "ejection"},
	{[]string{"jam", "jams", "jammed", "jamming"}, "overload"},
	{[]string{"calm", "calms"}, "the threshold by its name"},
	{[]string{"heard", "hear", "hears", "unheard"}, "load report, received, recorded"},
	{[]string{"told", "untold"}, "notified, stated"},
	{[]string{"receipt", "receipts"}, "acknowledgement"},
	{[]string{"trouble", "troubles"}, "fault"},
	{[]string{"doubt*"}, "unverified, reject"},
	{[]string{"stranger", "strangers"}, "unauthenticated connection, unverified endpoint"},
	{[]string{"tidy"}, "deferrable"},
	{[]string{"stirred"}, "dirty"},
	{[]string{"ripe"}, "due"},
	{[]string{"seat", "seats", "seated"}, "assign"},
	{[]string{"shy", "shyness"}, "recovery ramp"},
	{[]string{"brings"}, "expected rate, demand; has, causes"},
	{[]string{"sharer", "sharers"}, "lease manager"},
	{[]string{"arbiter", "arbiters"}, "lease grantor"},
	{[]string{"swarm", "swarms"}, "stress test"},
	{[]string{"rehears*"}, "scenario"},
	{[]string{"standin", "standins", "stand-in", "stand-ins"}, "fake"},
	{[]string{"emulat*"}, "simulate, simulation"},
	{[]string{"crowd", "crowds"}, "load generator"},
	{[]string{"book", "books"}, "registry"},
	{[]string{"shell", "shells"}, "server, runtime"},
	{[]string{"door", "doors"}, "adapter"},
	{[]string{"wake", "wakes", "woken", "woke"}, "timer, signal"},
	{[]string{
		".sound", "sound server", "sound servers", "sound proxy", "sound proxies", "sound planner", "sound planners",
		"sound peer", "sound peers", "sound one", "sound ones",
	}, "healthy"},
	{[]string{"owe", "owes", "owed"}, "pending, unsent, due"},
	{[]string{"dearest"}, "costliest"},
	{[]string{"farewell", "farewells"}, "last frames, closing frames"},
	{[]string{"waterline", "waterlines", "water line", "water lines"}, "water level"},
	{[]string{"commander", "commanders"}, "lease holder"},
}

// permittedPhrases are phrases in which a retired word has its standard sense.
var permittedPhrases = []string{"flow control", "control flow", "mod tidy", "shell script", "told apart"}

// term is one word of a text or one part of an identifier, in lower case.
type term struct {
	Text    string
	Joined  bool // the term follows another term in a hyphenated word or in an identifier
	InProse bool // the term comes from a comment, message or page, not from an identifier of code
}

var (
	// quotedPattern matches text that is not checked: quoted code and names, and names from generated packages.
	quotedPattern = regexp.MustCompile("`[^`]*`" + `|"[^"\n]*"|\b(order|pb|script|settings)\.\w+`)
	wordPattern   = regexp.MustCompile(`[\pL\d_]+(-[\pL\d_]+)*`)
)

// proseTerms splits a comment or message into words, and identifiers in it into their parts. It leaves out quoted text.
func proseTerms(text string) (terms []term) {
	text = quotedPattern.ReplaceAllString(text, " . ")
	for _, compound := range wordPattern.FindAllString(text, -1) {
		for position, word := range strings.Split(compound, "-") {
			parts := identifierTerms(word)
			if len(parts) > 0 {
				parts[0].Joined = position > 0
			}
			for n := range parts {
				parts[n].InProse = true
			}
			terms = append(terms, parts...)
		}
	}
	return terms
}

// identifierTerms splits an identifier at changes of case, underscores and digits: "sendHTTPReply" is send, http, reply.
func identifierTerms(name string) (terms []term) {
	letters := []rune(name)
	start := 0
	flush := func(end int) {
		if end > start {
			terms = append(terms, term{Text: strings.ToLower(string(letters[start:end])), Joined: len(terms) > 0})
		}
		start = end
	}
	for at, letter := range letters {
		switch {
		case !unicode.IsLetter(letter):
			flush(at)
			start = at + 1
		case unicode.IsUpper(letter) && at > 0 && beginsPart(letters, at):
			flush(at)
		}
	}
	flush(len(letters))
	return terms
}

// beginsPart reports whether the upper-case letter at an index follows or precedes a lower-case letter, and so begins a new
// part of an identifier.
func beginsPart(letters []rune, at int) bool {
	return unicode.IsLower(letters[at-1]) || at+1 < len(letters) && unicode.IsLower(letters[at+1])
}

// findRetired returns one element, with the replacement, for each occurrence of a retired form in the terms. It skips terms in
// permitted phrases.
func findRetired(terms []term) (found []retiredWord) {
	permitted := make([]bool, len(terms))
	for _, phrase := range permittedPhrases {
		for at := range terms {
			if length := matchLength(terms[at:], phrase); length > 0 {
				for covered := at; covered < at+length; covered++ {
					permitted[covered] = true
				}
			}
		}
	}
	for at := range terms {
		for _, word := range retiredWords {
			matches := func(form string) bool { return matchLength(terms[at:], form) > 0 }
			if n := slices.IndexFunc(word.Forms, matches); n >= 0 && !permitted[at] {
				found = append(found, retiredWord{word.Forms[n : n+1], word.Replacement})
			}
		}
	}
	return found
}

// matchLength returns the number of terms that a form matches at the beginning of terms, or 0 if it does not match.
func matchLength(terms []term, form string) int {
	if stem, isStem := strings.CutSuffix(form, "*"); isStem {
		if strings.HasPrefix(terms[0].Text, stem) {
			return 1
		}
		return 0
	}
	form, identifierOnly := strings.CutPrefix(form, ".")
	if identifierOnly && terms[0].InProse {
		return 0
	}
	joined := strings.Contains(form, "-")
	words := strings.FieldsFunc(form, func(r rune) bool { return r == ' ' || r == '-' })
	if len(words) > len(terms) {
		return 0
	}
	for n, word := range words {
		if terms[n].Text != word || joined && n > 0 && !terms[n].Joined {
			return 0
		}
	}
	return len(words)
}
