//! An ordered set of rules. The first whose `when` holds decides; a head that none matches has no route.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use garnetdoor::host::{Micros, ProfileId};
use garnetdoor_match::{Bounds, Fault, Head, Program, Spent, Type, Value};

/// A rule as it is written: expressions as texts, names as they are told elsewhere.
#[derive(Clone, Debug, Default)]
pub struct RuleText {
    /// True or false.
    pub when: String,
    /// The name of a profile.
    pub profile: String,
    /// Text.
    pub key: Option<String>,
    /// Text.
    pub party: Option<String>,
    /// A duration.
    pub agreed: Option<String>,
    /// The name of a limit group.
    pub group: Option<String>,
}

/// What is known of a profile.
#[derive(Clone, Debug)]
pub struct Profile {
    pub name: String,
    /// Its tickets may run more than once without harm.
    pub repeatable: bool,
}

/// What is wrong with a rule, or may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleFault {
    /// The rule's number, from 0, and which of its parts.
    pub rule: usize,
    pub part: &'static str,
    /// The fault, and the text that it is in, for its place.
    pub fault: Fault,
    pub text: String,
}

impl fmt::Display for RuleFault {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        self.fault.show(&format!("rules/{}/{}", self.rule, self.part), &self.text).fmt(to)
    }
}

struct Rule {
    when: Program,
    profile: ProfileId,
    key: Option<Program>,
    party: Option<Program>,
    agreed: Option<Program>,
    group: Option<usize>,
}

/// A set that has been checked.
pub struct Rules {
    rules: Vec<Rule>,
    /// Rules by the first segment that they need, and those that need none, each in order.
    by_segment: BTreeMap<String, Vec<usize>>,
    others: Vec<usize>,
    /// Rules that never hold or hold for nothing, and the like: no fault, and worth a look.
    pub warnings: Vec<RuleFault>,
}

/// What a ticket is.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Which rule held.
    pub rule: usize,
    pub profile: ProfileId,
    pub key: Option<String>,
    pub party: Option<String>,
    pub agreed: Option<Micros>,
    /// The number of its limit group.
    pub group: Option<usize>,
}

impl Rules {
    /// Reads a set; `budget` is what one expression may cost at the worst. Reports all faults together.
    pub fn read(
        texts: &[RuleText], profiles: &[Profile], groups: &[String], bounds: &Bounds, budget: u64,
    ) -> Result<Rules, Vec<RuleFault>> {
        let mut reader = Reader { bounds, budget, faults: Vec::new() };
        let read: Vec<_> = (0..).zip(texts).map(|(n, text)| reader.rule(n, text, profiles, groups)).collect();
        let Some(rules) = read.into_iter().collect::<Option<Vec<_>>>().filter(|_| reader.faults.is_empty())
        else {
            return Err(reader.faults);
        };
        let (mut by_segment, mut others) = (BTreeMap::<String, Vec<usize>>::new(), Vec::new());
        for (number, rule) in rules.iter().enumerate() {
            match rule.when.first_segments() {
                Some(segments) => {
                    segments.into_iter().for_each(|s| by_segment.entry(s).or_default().push(number))
                }
                None => others.push(number),
            }
        }
        let warnings = warnings(texts, &rules, profiles);
        Ok(Rules { rules, by_segment, others, warnings })
    }

    /// What a head's ticket is, with the units spent; `None` where no rule holds.
    pub fn route(&self, head: &Head) -> (Option<Route>, Spent) {
        let mut spent = 0;
        let segment = head.segment(0).unwrap_or_default();
        let by_segment = self.by_segment.get(segment).map_or(&[][..], Vec::as_slice);
        // Both lists are in order; the earlier rule of the two is tried first.
        let (mut own, mut others) = (by_segment.iter().peekable(), self.others.iter().peekable());
        loop {
            let number = match (own.peek(), others.peek()) {
                (Some(a), Some(b)) if a < b => own.next(),
                (Some(_), None) => own.next(),
                _ => others.next(),
            };
            let Some(number) = number.copied() else { return (None, Spent(spent)) };
            let rule = &self.rules[number];
            let (value, cost) = rule.when.eval(head);
            spent += cost.0;
            if value == Value::Truth(true) {
                let mut text = |program: &Option<Program>| {
                    let (value, cost) = program.as_ref()?.eval(head);
                    spent += cost.0;
                    if let Value::Text(text) = value { Some(text.into_owned()) } else { None }
                };
                let (key, party) = (text(&rule.key), text(&rule.party));
                let agreed = rule.agreed.as_ref().map(|program| program.eval(head));
                spent += agreed.as_ref().map_or(0, |(_, cost)| cost.0);
                let agreed =
                    agreed.and_then(|(value, _)| if let Value::Number(at) = value { Some(at) } else { None });
                let Rule { profile, group, .. } = *rule;
                return (Some(Route { rule: number, profile, key, party, agreed, group }), Spent(spent));
            }
        }
    }
}

struct Reader<'a> {
    bounds: &'a Bounds,
    budget: u64,
    faults: Vec<RuleFault>,
}

impl Reader<'_> {
    fn rule(
        &mut self, rule: usize, text: &RuleText, profiles: &[Profile], groups: &[String],
    ) -> Option<Rule> {
        let when = self.program(rule, "when", &text.when, Type::Truth);
        let [key, party] = [("key", &text.key), ("party", &text.party)]
            .map(|(part, text)| self.maybe(rule, part, text.as_deref(), Type::Text));
        let agreed = self.maybe(rule, "agreed", text.agreed.as_deref(), Type::Duration);
        let names: Vec<&str> = profiles.iter().map(|profile| profile.name.as_str()).collect();
        let profile = self.name(rule, "profile", &text.profile, &names).map(ProfileId);
        let names: Vec<&str> = groups.iter().map(String::as_str).collect();
        let group = text.group.as_deref().map(|group| self.name(rule, "group", group, &names));
        Some(Rule {
            when: when?,
            profile: profile?,
            key: key?,
            party: party?,
            agreed: agreed?,
            group: group.flatten(),
        })
    }

    fn program(&mut self, rule: usize, part: &'static str, text: &str, of: Type) -> Option<Program> {
        let program = Program::read(text, of, self.bounds, self.budget);
        let told = |fault| RuleFault { rule, part, fault, text: text.to_owned() };
        program.map_err(|faults| self.faults.extend(faults.into_iter().map(told))).ok()
    }

    /// The outer `None` stands for a fault.
    fn maybe(
        &mut self, rule: usize, part: &'static str, text: Option<&str>, of: Type,
    ) -> Option<Option<Program>> {
        match text {
            Some(text) => self.program(rule, part, text, of).map(Some),
            None => Some(None),
        }
    }

    fn name(&mut self, rule: usize, part: &'static str, name: &str, known: &[&str]) -> Option<usize> {
        let found = known.iter().position(|other| *other == name);
        if found.is_none() {
            let (found, expected) = (format!("{name:?}"), format!("one of {}", known.join(", ")));
            let fault = Fault { at: 0..name.len(), found, expected };
            self.faults.push(RuleFault { rule, part, fault, text: name.to_owned() });
        }
        found
    }
}

fn warnings(texts: &[RuleText], rules: &[Rule], profiles: &[Profile]) -> Vec<RuleFault> {
    let mut warnings = Vec::new();
    let mut seen = BTreeSet::new();
    let mut closed: Option<usize> = None;
    for (rule, (text, checked)) in texts.iter().zip(rules).enumerate() {
        let mut warn = |found: String, expected: &str| {
            let fault = Fault { at: 0..text.when.len(), found, expected: expected.to_owned() };
            warnings.push(RuleFault { rule, part: "when", fault, text: text.when.clone() });
        };
        if let Some(all) = closed {
            warn(
                format!("a rule behind rule {all}, which always holds"),
                "it ahead, since it is never reached",
            );
        } else if !seen.insert(&text.when) {
            warn("the same as an earlier rule".to_owned(), "it once, since it is never reached");
        }
        if checked.when.always() {
            closed.get_or_insert(rule);
        }
        let methods = checked.when.methods();
        let repeatable = profiles[checked.profile.0].repeatable;
        let safe = |method: &String| matches!(method.as_str(), "GET" | "HEAD" | "OPTIONS");
        if !repeatable && methods.as_ref().is_none_or(|methods| methods.iter().any(safe)) {
            let found = format!("{} may hold for a GET, and may run once only", text.profile);
            warn(found, "a method that clients and proxies do not repeat by themselves, such as POST");
        } else if repeatable && methods.is_some_and(|methods| !methods.iter().any(safe)) {
            let found = format!("{} holds for no GET, and may run twice", text.profile);
            warn(found, "a profile that may run once only, if its tickets have an effect");
        }
    }
    warnings
}
