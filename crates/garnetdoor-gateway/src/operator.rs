//! Finds, reads and checks the operator file.

use garnetdoor::host::Settings;
use garnetdoor_operator as file;

use crate::wire::client::Profiles;

pub use garnetdoor_operator::OperatorConfig;

/// The environment variable that names the file if the command line does not.
const PATH_VARIABLE: &str = "GARNETDOOR_OPERATOR";

/// Reads and checks the file at `path`, or else the one that `GARNETDOOR_OPERATOR` names. With neither, every
/// feature of the operator file is off. If the platform's settings are given, the file's profile names are
/// checked against them.
///
/// # Errors
///
/// One line for each fault, beginning with the file's path.
pub fn read(path: Option<&str>, settings: Option<&Settings>) -> Result<OperatorConfig, Vec<String>> {
    let path =
        path.map(str::to_owned).or_else(|| std::env::var(PATH_VARIABLE).ok().filter(|path| !path.is_empty()));
    let Some(path) = path else { return Ok(OperatorConfig::default()) };
    let text = std::fs::read_to_string(&path);
    let text =
        text.map_err(|error| vec![format!("{path}: found {error}, expected a file that can be read")])?;
    let profiles = settings.map(Profiles::names);
    file::parse(&text, profiles.as_deref())
        .map_err(|faults| faults.iter().map(|fault| format!("{path}: {fault}")).collect())
}
