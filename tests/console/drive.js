// Simulates an operator on the console and writes the outcome into the element test-result. The query parameter `test`
// selects the scenario; with `stop`, the scenario ends after the step of that name, for a screenshot.

const query = new URLSearchParams(location.search);
const waitLimitMs = 5000;

const find = (selector) => document.querySelector(selector);
const text = (selector) => find(selector).textContent;

/** Waits until the condition holds; it is evaluated after each change of the page. */
function waitUntil(what, condition) {
  return new Promise((resolve, reject) => {
    const finish = (settle, value) => {
      observer.disconnect();
      clearTimeout(timer);
      settle(value);
    };
    const observer = new MutationObserver(() => condition() && finish(resolve));
    const timer = setTimeout(() => finish(reject, new Error(`timed out waiting for ${what}; status "${text('#status')}"`)),
      waitLimitMs);
    observer.observe(document.body, { subtree: true, childList: true, attributes: true, characterData: true });
    if (condition()) {
      finish(resolve);
    }
  });
}

function expect(what, found, expected) {
  if (JSON.stringify(found) !== JSON.stringify(expected)) {
    throw new Error(`${what}: found ${JSON.stringify(found)}, expected ${JSON.stringify(expected)}`);
  }
}

function enterText(selector, value) {
  const input = find(selector);
  input.focus();
  input.value = value;
  input.dispatchEvent(new Event('input', { bubbles: true }));
  input.dispatchEvent(new Event('change', { bubbles: true }));
}

const click = (selector) => find(selector).click();
const fieldOf = (path) => `[data-path="${path}"]`;
const isValid = (changes) => () => text('#status').startsWith(`The document is valid: ${changes}`);

async function call(method, path, body) {
  const response = await fetch(`/operator/v1/${path}`, { method, body, headers: { Authorization: 'Bearer test-token' } });
  return response.json();
}

/** Writes a change as another operator, directly through the API. */
async function writeAsOtherOperator(change) {
  const { version, document: content } = await call('GET', 'config');
  change(content);
  content.write_id = 'other-operator';
  return call('PUT', `config?base_version=${version}`, JSON.stringify(content));
}

async function signIn() {
  enterText('#token', 'test-token');
  click('#sign-in button');
  await waitUntil('the form', () => !find('#editor').hidden && isValid('no changes')());
}

function stopAfter(name) {
  if (query.get('stop') === name) {
    throw new Error('stopped');
  }
}

// Guards against a console that opens without a valid token, or stores the token where another page can read it.
async function signInTest() {
  enterText('#token', 'wrong');
  click('#sign-in button');
  await waitUntil('the refusal', () => text('#sign-in-error') === 'The token is not valid.');
  expect('editor hidden', find('#editor').hidden, true);
  await signIn();
  expect('focus in the form', find('#editor').contains(document.activeElement), true);
  expect('token in the page', find('#token').value, '');
  expect('stored values', [localStorage.length, sessionStorage.length, document.cookie], [0, 0, '']);
}

// Guards against forms that lose an edit, do not show an error next to its field, write a document that differs from the
// displayed one, or write a version without a change.
async function editTest() {
  await signIn();
  const { version } = await call('GET', 'config');
  click('#submit');
  await waitUntil('no write', () => text('#status').startsWith('Nothing to write') && !find('#submit').disabled);
  click('[data-path="teams"] > .buttons button');
  await waitUntil('the error of the empty name', () => text(fieldOf('teams[3].name')).includes('Found ""'));
  enterText(`${fieldOf('teams[3].name')} input`, 'storm-desk');
  enterText(`${fieldOf('teams[3].quota_percent')} input`, '5.5');
  enterText(`${fieldOf('services[0].shards')} input`, 'many');
  await waitUntil('the error of the shards', () => text(fieldOf('services[0].shards')).includes('an integer from 1 to 1024'));
  const shards = find(`${fieldOf('services[0].shards')} input`);
  expect('aria-invalid', shards.getAttribute('aria-invalid'), 'true');
  expect('number of problems', document.querySelectorAll('#problem-list li').length, 1);
  stopAfter('error');
  click('#submit');
  await waitUntil('the focus on the problem', () => document.activeElement === find('#problem-list button'));
  click('#problem-list button');
  expect('focus on the field', document.activeElement === shards, true);
  enterText(`${fieldOf('services[0].task_time_limit_ms')} input`, '9000');
  enterText(`${fieldOf('services[0].shards')} input`, '1');
  enterText(`${fieldOf('teams[1].quota_percent')} input`, '95');
  await waitUntil('the rule between fields', () => text(fieldOf('teams')).includes('quotas of 105.5 %'));
  enterText(`${fieldOf('teams[1].quota_percent')} input`, '');
  click('[data-path="drains.targets"] button');
  enterText(`${fieldOf('drains.targets[0]')} input`, 'minion-7');
  click(`${fieldOf('services[1].idempotent_default')} input`);
  await waitUntil('the changes', isValid('5 changes'));
  stopAfter('edited');
  expect('changes', [...document.querySelectorAll('#changes [data-change]')].map((row) => row.dataset.change), [
    'drains.targets[minion-7]', 'services[line-analysis].task_time_limit_ms', 'services[report-index].idempotent_default',
    'teams[field-crews].quota_percent', 'teams[storm-desk]',
  ]);
  const shown = text('#document');
  expect('team as shown', shown.includes('  - name: storm-desk\n    quota_percent: 5.5\n'), true);
  click('#submit');
  await waitUntil('the write', () => text('#status') === `Version ${version + 1} is written.`);
  const { document: written } = await call('GET', 'config');
  const { normalized } = await call('POST', 'config/validate', shown);
  expect('document in force', { ...written, write_id: '' }, normalized);
  expect('write id', /^[0-9a-f-]{35}$/.test(written.write_id), true);
}

// Guards against a write conflict that overwrites the other operator's change or drops the edits of this one.
async function conflictTest() {
  await signIn();
  enterText(`${fieldOf('teams[0].weight')} input`, '7');
  enterText(`${fieldOf('services[0].task_time_limit_ms')} input`, '9000');
  await waitUntil('the edit', isValid('2 changes'));
  const other = await writeAsOtherOperator((content) => {
    content.teams[0].weight = 9;
    content.limits.tasks_per_job = 100;
    content.drains.agents.push('agent-3');
  });
  click('#submit');
  await waitUntil('the conflict', () => !find('#conflict').hidden && !find('#submit').disabled);
  expect('title', text('#conflict-title'), `Version ${other.version} was written by someone else`);
  const rows = [...document.querySelectorAll('#conflict-changes [data-change]')];
  expect('rows', rows.map((row) => [row.className, ...[...row.cells].map((cell) => cell.textContent)]), [
    ['one', 'drains.agents[agent-3]', 'none', '"agent-3"', 'none'],
    ['one', 'limits.tasks_per_job', '180', '100', '180'],
    ['one', 'services[line-analysis].task_time_limit_ms', '10000', '10000', '9000'],
    ['both', 'teams[control-room].weightchanged by both', '4', '9', '7'],
  ]);
  expect('edits kept', find(`${fieldOf('teams[0].weight')} input`).value, '7');
  expect('both versions', [text('#conflict-theirs').includes('weight: 9'), text('#conflict-mine').includes('weight: 7')],
    [true, true]);
  stopAfter('conflict');
  click('#combine');
  expect('focus after the choice', document.activeElement.id, 'submit');
  await waitUntil('the combined draft', isValid('2 changes'));
  click('#submit');
  await waitUntil('the write', () => text('#status') === `Version ${other.version + 1} is written.`);
  const { document: written } = await call('GET', 'config');
  expect('combined', [written.teams[0].weight, written.services[0].task_time_limit_ms,
    written.limits.tasks_per_job, written.drains.agents], [7, 9000, 100, ['agent-3']]);
}

// Guards against a write that is applied twice, or reported as failed, because its response was lost.
async function lostAnswerTest() {
  await signIn();
  enterText(`${fieldOf('limits.tasks_per_job')} input`, '90');
  await waitUntil('the edit', isValid('1 change'));
  const { version } = await call('GET', 'config');
  const realFetch = window.fetch;
  window.fetch = async (url, options) => {
    const answer = await realFetch(url, options);
    if (options?.method === 'PUT') {
      throw new TypeError('connection lost');
    }
    return answer;
  };
  click('#submit');
  await waitUntil('the write that was found', () => text('#status') === `Version ${version + 1} is written.`);
  expect('version', (await call('GET', 'config')).version, version + 1);
  window.fetch = async (url, options) => {
    if (options?.method === 'PUT') {
      throw new TypeError('connection refused');
    }
    return realFetch(url, options);
  };
  enterText(`${fieldOf('limits.tasks_per_job')} input`, '80');
  await waitUntil('the second edit', isValid('1 change'));
  click('#submit');
  await waitUntil('the unknown outcome', () =>
    text('#status').includes('It is not known whether') && !find('#submit').disabled);
  window.fetch = realFetch;
  click('#submit');
  await waitUntil('the second write', () => text('#status') === `Version ${version + 2} is written.`);
}

// Guards against errors that only the write reports and that are not shown next to their fields.
async function refusalTest() {
  await signIn();
  const { version } = await call('GET', 'config');
  enterText(`${fieldOf('services[0].shards')} input`, '8');
  await waitUntil('the edit', isValid('1 change'));
  click('#submit');
  await waitUntil('the refusal', () => text('#status').includes('the document has 1 error:'));
  expect('beside the field', text(`${fieldOf('services[0].shards')} .error`), 'Found 8. Expected 1, or a new service with another name.');
  expect('version', (await call('GET', 'config')).version, version);
}

// Guards against horizontal scrolling on a phone, and against controls without an accessible name.
async function phoneTest() {
  await signIn();
  click('[data-path="drains.agents"] button');
  enterText(`${fieldOf('drains.agents[0]')} input`, 'agent-'.padEnd(100, 'x'));
  enterText(`${fieldOf('limits.tasks_per_job')} input`, '181');
  for (const card of document.querySelectorAll('details')) {
    card.open = true;
  }
  await waitUntil('the error', () => !find('#problems').hidden);
  expect('width of the window', window.innerWidth, 390);
  const page = document.documentElement;
  expect('width beyond the window', page.scrollWidth - page.clientWidth, 0);
  const order = find('#problems').getBoundingClientRect().top < find('#form').getBoundingClientRect().top;
  expect('problems above the form', order, true);
  const isNamed = (item) => item.textContent || item.ariaLabel || item.labels?.[0]?.textContent;
  const unnamed = [...document.querySelectorAll('input, button, summary')].filter((item) => !isNamed(item));
  expect('controls without a name', unnamed.map((item) => item.outerHTML), []);
}

const scenarios = {
  sign_in: signInTest, edit: editTest, conflict: conflictTest, lost_answer: lostAnswerTest, refusal: refusalTest, phone: phoneTest,
};

async function run() {
  let result = 'passed';
  try {
    await scenarios[query.get('test')]();
  } catch (error) {
    result = error.message;
  }
  if (query.has('stop')) {
    return;
  }
  const element = window.top.document.createElement('pre');
  element.id = 'test-result';
  element.textContent = `RESULT ${query.get('test')}: ${result}`;
  window.top.document.body.append(element);
}

run();
