// Calls of the operators' interface. The token stays in this module's memory.

let token = '';

export function setToken(value) {
  token = value;
}

/** An answer other than the expected one. `status` is 0 when there was no answer at all. */
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

/** The JSON Schema of the document, from which the forms are built. */
export const fetchSchema = () => call('GET', 'schema');

/** {version, document}; document is null while there is none. */
export const fetchConfig = () => call('GET', 'config');

/** {errors, warnings, normalized}; normalized is null when there are errors. */
export const validate = (text) => call('POST', 'config/validate', text);

/** {version}. Throws a CallError with status 409 after a lost race. */
export const write = (text, baseVersion) => call('PUT', `config?base_version=${baseVersion}`, text);

/** The changes between two normalized documents, as a list of {path, before, after}. */
export async function difference(before, after) {
  const answer = await call('POST', 'config/diff', JSON.stringify({ before, after }));
  return answer.changes;
}
