//! An ordered set of rules. The first rule whose `when` holds for a request determines its route; a request for which
//! none holds has no route.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use garnetdoor::host::{Micros, ProfileId};
use garnetdoor_match::{Cost, ExprError, HeadLimits, Program, RequestHead, Type, Value};

/// A rule as it is configured, with expressions as texts.
#[derive(Clone, Debug, Default)]
pub struct RuleText {
    /// The condition: an expression that is true or false.
    pub when: String,
    /// The name of a profile.
    pub profile: String,
    /// The request's key: an expression of type text.
    pub key: Option<String>,
    /// The request's party: an expression of type text.
    pub party: Option<String>,
    /// The request's deadline: an expression of type duration. Called `agreed` in errors.
    pub deadline: Option<String>,
    /// The name of a limit group.
    pub group: Option<String>,
}

/// A profile that rules may name.
#[derive(Clone, Debug)]
pub struct Profile {
    pub name: String,
    /// Whether its requests may run more than once without harm.
    pub repeatable: bool,
}

/// An error in a rule, or a warning about one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleError {
    /// The rule's index.
    pub rule: usize,
    /// The part of the rule, such as `when`.
    pub part: &'static str,
    pub error: ExprError,
    /// The text that the error is in.
    pub text: String,
}

impl fmt::Display for RuleError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.error.display(&format!("rules/{}/{}", self.rule, self.part), &self.text).fmt(formatter)
    }
}

struct Rule {
    when: Program,
    profile: ProfileId,
    key: Option<Program>,
    party: Option<Program>,
    deadline: Option<Program>,
    group: Option<usize>,
}

/// A compiled set of rules.
pub struct Rules {
    rules: Vec<Rule>,
    /// The rules that hold only for certain first path segments, by segment, each list in order.
    by_segment: BTreeMap<String, Vec<usize>>,
    /// The other rules, in order.
    any_segment: Vec<usize>,
    /// Likely mistakes that are no errors, such as rules that are never reached.
    pub warnings: Vec<RuleError>,
}

/// How a request is classified.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The index of the rule that held.
    pub rule: usize,
    pub profile: ProfileId,
    pub key: Option<String>,
    pub party: Option<String>,
    /// The value of the rule's deadline expression.
    pub deadline: Option<Micros>,
    /// The index of its limit group.
    pub group: Option<usize>,
}

impl Rules {
    /// Compiles a set of rules and reports all errors together. `groups` are the names of the limit groups, and `budget` is
    /// the most units that one expression may cost; see [`Program::compile`].
    pub fn compile(
        texts: &[RuleText], profiles: &[Profile], groups: &[String], limits: &HeadLimits, budget: u64,
    ) -> Result<Rules, Vec<RuleError>> {
        let mut compiler = Compiler { limits, budget, errors: Vec::new() };
        let compiled: Vec<_> =
            (0..).zip(texts).map(|(index, text)| compiler.rule(index, text, profiles, groups)).collect();
        let compiled = compiled.into_iter().collect::<Option<Vec<_>>>();
        let Some(rules) = compiled.filter(|_| compiler.errors.is_empty()) else {
            return Err(compiler.errors);
        };
        let (mut by_segment, mut any_segment) = (BTreeMap::<String, Vec<usize>>::new(), Vec::new());
        for (index, rule) in rules.iter().enumerate() {
            match rule.when.required_first_segments() {
                Some(segments) => segments
                    .into_iter()
                    .for_each(|segment| by_segment.entry(segment).or_default().push(index)),
                None => any_segment.push(index),
            }
        }
        let warnings = warnings(texts, &rules, profiles);
        Ok(Rules { rules, by_segment, any_segment, warnings })
    }

    /// The route of a request, and the cost of finding it; `None` if no rule holds.
    pub fn route(&self, head: &RequestHead) -> (Option<Route>, Cost) {
        let mut cost = 0;
        let segment = head.segment(0).unwrap_or_default();
        let by_segment = self.by_segment.get(segment).map_or(&[][..], Vec::as_slice);
        // Both lists are in order; the rule with the lower index of the two next ones is tried first.
        let mut by_segment = by_segment.iter().peekable();
        let mut any_segment = self.any_segment.iter().peekable();
        loop {
            let index = match (by_segment.peek(), any_segment.peek()) {
                (Some(a), Some(b)) if a < b => by_segment.next(),
                (Some(_), None) => by_segment.next(),
                _ => any_segment.next(),
            };
            let Some(index) = index.copied() else { return (None, Cost(cost)) };
            let rule = &self.rules[index];
            let (value, condition_cost) = rule.when.eval(head);
            cost += condition_cost.0;
            if value == Value::Bool(true) {
                let (route, route_cost) = rule.route(index, head);
                return (Some(route), Cost(cost + route_cost.0));
            }
        }
    }
}

impl Rule {
    /// The route of a request for which the rule, of this index, holds, and the cost of its parts.
    fn route(&self, index: usize, head: &RequestHead) -> (Route, Cost) {
        let mut cost = 0;
        let mut eval_text = |program: &Option<Program>| {
            let (value, program_cost) = program.as_ref()?.eval(head);
            cost += program_cost.0;
            if let Value::Text(text) = value { Some(text.into_owned()) } else { None }
        };
        let (key, party) = (eval_text(&self.key), eval_text(&self.party));
        let deadline = self.deadline.as_ref().and_then(|program| {
            let (value, program_cost) = program.eval(head);
            cost += program_cost.0;
            if let Value::Number(micros) = value { Some(micros) } else { None }
        });
        let Rule { profile, group, .. } = *self;
        (Route { rule: index, profile, key, party, deadline, group }, Cost(cost))
    }
}

/// Compiles rules and gathers their errors.
struct Compiler<'a> {
    limits: &'a HeadLimits,
    budget: u64,
    errors: Vec<RuleError>,
}

impl Compiler<'_> {
    fn rule(
        &mut self, rule: usize, text: &RuleText, profiles: &[Profile], groups: &[String],
    ) -> Option<Rule> {
        let when = self.program(rule, "when", &text.when, Type::Bool);
        let [key, party] = [("key", &text.key), ("party", &text.party)]
            .map(|(part, text)| self.optional_program(rule, part, text.as_deref(), Type::Text));
        let deadline = self.optional_program(rule, "agreed", text.deadline.as_deref(), Type::Duration);
        let names: Vec<&str> = profiles.iter().map(|profile| profile.name.as_str()).collect();
        let profile = self.find_name(rule, "profile", &text.profile, &names).map(ProfileId);
        let names: Vec<&str> = groups.iter().map(String::as_str).collect();
        let group = text.group.as_deref().map(|group| self.find_name(rule, "group", group, &names));
        Some(Rule {
            when: when?,
            profile: profile?,
            key: key?,
            party: party?,
            deadline: deadline?,
            group: group.flatten(),
        })
    }

    fn program(&mut self, rule: usize, part: &'static str, text: &str, of: Type) -> Option<Program> {
        let program = Program::compile(text, of, self.limits, self.budget);
        let rule_error = |error| RuleError { rule, part, error, text: text.to_owned() };
        program.map_err(|errors| self.errors.extend(errors.into_iter().map(rule_error))).ok()
    }

    /// Compiles an expression if there is one; the outer `None` stands for an error.
    fn optional_program(
        &mut self, rule: usize, part: &'static str, text: Option<&str>, of: Type,
    ) -> Option<Option<Program>> {
        match text {
            Some(text) => self.program(rule, part, text, of).map(Some),
            None => Some(None),
        }
    }

    /// The index of a name among the known ones; an unknown name is an error.
    fn find_name(&mut self, rule: usize, part: &'static str, name: &str, known: &[&str]) -> Option<usize> {
        let found = known.iter().position(|other| *other == name);
        if found.is_none() {
            let (found, expected) = (format!("{name:?}"), format!("one of {}", known.join(", ")));
            let error = ExprError { span: 0..name.len(), found, expected };
            self.errors.push(RuleError { rule, part, error, text: name.to_owned() });
        }
        found
    }
}

/// Finds rules that are never reached, and profiles that do not fit the methods of their rules: GET, HEAD and OPTIONS are
/// repeated by clients and proxies.
fn warnings(texts: &[RuleText], rules: &[Rule], profiles: &[Profile]) -> Vec<RuleError> {
    let mut warnings = Vec::new();
    let mut conditions = BTreeSet::new();
    let mut catch_all: Option<usize> = None;
    for (index, (text, rule)) in texts.iter().zip(rules).enumerate() {
        let mut warn = |found: String, expected: &str| {
            let error = ExprError { span: 0..text.when.len(), found, expected: expected.to_owned() };
            warnings.push(RuleError { rule: index, part: "when", error, text: text.when.clone() });
        };
        if let Some(catch_all) = catch_all {
            warn(
                format!("a rule behind rule {catch_all}, which always holds"),
                "it ahead, since it is never reached",
            );
        } else if !conditions.insert(&text.when) {
            warn("the same as an earlier rule".to_owned(), "it once, since it is never reached");
        }
        if rule.when.is_always_true() {
            catch_all.get_or_insert(index);
        }
        let methods = rule.when.required_methods();
        let repeatable = profiles[rule.profile.0].repeatable;
        let is_safe = |method: &String| matches!(method.as_str(), "GET" | "HEAD" | "OPTIONS");
        if !repeatable && methods.as_ref().is_none_or(|methods| methods.iter().any(is_safe)) {
            let found = format!("{} may hold for a GET, and may run once only", text.profile);
            warn(found, "a method that clients and proxies do not repeat by themselves, such as POST");
        } else if repeatable && methods.is_some_and(|methods| !methods.iter().any(is_safe)) {
            let found = format!("{} holds for no GET, and may run twice", text.profile);
            warn(found, "a profile that may run once only, if its requests have an effect");
        }
    }
    warnings
}
