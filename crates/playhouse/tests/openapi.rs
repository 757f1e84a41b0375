//! The OpenAPI file is the specification of the HTTP API: the code must serve exactly the calls that it names.

use std::collections::BTreeSet;

use playhouse::api::SERVED_CALLS;

const METHODS: [&str; 8] = ["get", "put", "post", "delete", "options", "head", "patch", "trace"];

/// Reads methods and paths from an OpenAPI file by its indentation: below `paths:`, keys at the first level are paths and
/// keys at the second level are methods. Panics if the file is not written in that form.
fn specified_calls(text: &str) -> BTreeSet<(String, String)> {
    let mut found = BTreeSet::new();
    let (mut in_paths, mut path, mut indent_step) = (false, None::<String>, 0);
    for line in text.lines().filter(|line| !line.trim().is_empty() && !line.trim_start().starts_with('#')) {
        let indent = line.len() - line.trim_start().len();
        if indent == 0 {
            in_paths = line.trim_end() == "paths:";
            continue;
        }
        let Some((key, _)) = line.trim().split_once(':').filter(|_| in_paths) else { continue };
        if indent_step == 0 {
            indent_step = indent;
        }
        let key = key.trim_matches(['"', '\'']);
        if indent == indent_step {
            assert!(key.starts_with('/'), "a path expected: {line:?}");
            path = Some(key.to_owned());
        } else if indent == 2 * indent_step && METHODS.contains(&key) {
            let path = path.clone().expect("a method under a path");
            assert!(found.insert((key.to_owned(), path)), "named twice: {line:?}");
        }
    }
    found
}

#[test]
fn the_openapi_file_and_the_code_name_the_same_calls() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../api/openapi.yaml");
    let text = std::fs::read_to_string(file).expect("api/openapi.yaml at the repository's root");
    let mut specified = specified_calls(&text);
    // Readiness is served by gateways, to the platform; control nodes do not serve it.
    specified.remove(&("get".to_owned(), "/api/readiness".to_owned()));
    let served: BTreeSet<_> =
        SERVED_CALLS.iter().map(|(method, path)| (method.to_string(), path.to_string())).collect();
    assert_eq!(served.len(), SERVED_CALLS.len(), "a call is served twice");
    assert_eq!(specified, served);
}
