//! Provides the `explain` command, which shows how the rules apply to a
//! described request.

use std::process::ExitCode;

use bergamotswitch_core::client_account::AccountName;
use bergamotswitch_core::explain::RequestExplanation;
use bergamotswitch_core::failure_domain::DomainName;
use bergamotswitch_core::name::NameError;
use bergamotswitch_core::pool::PoolName;
use bergamotswitch_core::publication::Publication;
use bergamotswitch_core::rules::{RequestAttributes, WorkKind};

use super::args::ExplainArgs;
use super::error::CommandError;
use super::files;
use super::output::write_out;

/// The request path if none is given.
const DEFAULT_PATH: &str = "/v1/chat/completions";

/// Print which rule matches, why earlier rules do not, and which targets may
/// run the request. Exits with 1 if no rule matches.
pub(super) fn explain(args: &ExplainArgs) -> Result<ExitCode, CommandError> {
    let publication = files::read_deployment(&args.deployment)?;
    let pool =
        PoolName::try_from(args.pool.as_str()).map_err(|error| invalid_name("--pool", error))?;
    let account = AccountName::try_from(args.account.as_str())
        .map_err(|error| invalid_name("--account", error))?;
    let work = args.work.as_deref().map(WorkKind::try_from).transpose();
    let work = work.map_err(|error| invalid_name("--work", error))?;
    let domain = domain(args, &publication)?;
    let facts = RequestAttributes {
        pool: &pool,
        account: &account,
        work: work.as_ref(),
        path: args.path.as_deref().unwrap_or(DEFAULT_PATH),
        domain: &domain,
        prompt_tokens: args.prompt_tokens,
        streaming: args.streaming,
    };
    let explanation = RequestExplanation::of(&publication, &facts);
    write_out(&format!("{explanation}\n"))?;
    match explanation.verdict.is_some() {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::from(1)),
    }
}

fn invalid_name(option: &str, error: NameError) -> CommandError {
    CommandError::Usage(format!("option {option}: {error}"))
}

fn domain(args: &ExplainArgs, publication: &Publication) -> Result<DomainName, CommandError> {
    if let Some(name) = args.domain.as_deref() {
        return DomainName::try_from(name).map_err(|error| invalid_name("--domain", error));
    }
    let first = publication.domains.domains().first();
    let domain = first.map(|domain| domain.name.clone());
    domain.ok_or_else(|| CommandError::Usage("the deployment defines no failure domain".into()))
}
