// Client of the operator API. The token is held only in this module's memory.

let token = '';

export function setToken(value) {
  token = value;
}

/** A failed call. `status` is the HTTP status, or 0 if there was no valid response. */
export class CallError extends Error {
  constructor(status, body) {
    super(body.reason || `the server answered with status ${status}`);
    this.status = status;
    this.body = body;
  }
}

async function call(method, path, body) {
  let response;
  try {
    response = await fetch(`/operator/v1/${path}`, {
      method,
      body,
      cache: 'no-store',
      headers: { Authorization: `Bearer ${token}` },
    });
  } catch (error) {
    throw new CallError(0, { reason: `no answer from the server (${error.message})` });
  }
  const answer = await response.json().catch(() => null);
  if (!response.ok || answer === null) {
    throw new CallError(response.ok ? 0 : response.status, answer || {});
  }
  return answer;
}

/** Returns the JSON Schema of the document, from which the form is built. */
export const fetchSchema = () => call('GET', 'schema');

/** Returns {version, document}; document is null if none has been written. */
export const fetchConfig = () => call('GET', 'config');

/** Returns {errors, warnings, normalized}; normalized is null if there are errors. */
export const validate = (text) => call('POST', 'config/validate', text);

/** Returns {version}. Throws a CallError with status 409 if baseVersion is not the current version. */
export const write = (text, baseVersion) => call('PUT', `config?base_version=${baseVersion}`, text);

/** Returns the changes between two normalized documents as a list of {path, before, after}. */
export async function difference(before, after) {
  const answer = await call('POST', 'config/diff', JSON.stringify({ before, after }));
  return answer.changes;
}
