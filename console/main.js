// State of the page and the operator's actions: sign in, edit, validate, save, submit.

import * as api from './api.js';
import { showChanges } from './changes.js';
import { showConflict } from './conflict.js';
import { byId } from './elements.js';
import { buildForm } from './form.js';
import { countText, showProblems } from './problems.js';
import { newValue, withoutDefaults } from './schema.js';
import { toYaml } from './yaml.js';

/** Delay of validation after the last keystroke, so that the server does not validate on each keystroke. */
const validationDelayMs = 200;

const state = {
  schema: null,
  base: { version: 0, document: null }, // the version that the edits are based on
  draft: null,
  writeId: '', // id of the last write if its outcome is unknown, otherwise empty
  changeCount: 0,
  validationNumber: 0, // of the latest validation; results of earlier ones are discarded
  validationTimer: 0,
  busy: false,
};

function setStatus(text, failed = false) {
  byId('status').textContent = text;
  byId('status').classList.toggle('failed', failed);
}

const draftText = () => toYaml(withoutDefaults(state.schema, state.draft));

/** Does not use randomUUID(), which exists only on secure origins: operators may use plain HTTP. */
function newWriteId() {
  const words = crypto.getRandomValues(new Uint32Array(4));
  return [...words].map((word) => word.toString(16).padStart(8, '0')).join('-');
}

async function updateChanges(normalized) {
  if (!state.base.document) {
    byId('changes').textContent = 'No document is in force yet.';
    state.changeCount = 1;
    return;
  }
  const changes = await api.difference(state.base.document, normalized);
  state.changeCount = changes.length;
  showChanges(byId('changes'), changes);
}

/** Validates the draft on the server. Returns the normalized document, or null if it has errors or is outdated. */
async function validateDraft() {
  clearTimeout(state.validationTimer);
  state.validationNumber += 1;
  const number = state.validationNumber;
  byId('document').textContent = draftText();
  const report = await api.validate(draftText());
  if (number !== state.validationNumber) {
    return null;
  }
  showProblems(byId('form'), report);
  if (report.normalized === null) {
    byId('changes').textContent = 'Shown when the document has no errors.';
    setStatus(`The document has ${countText(report.errors.length, 'error')}.`, true);
    return null;
  }
  await updateChanges(report.normalized);
  if (number === state.validationNumber) {
    setStatus(`The document is valid: ${countText(state.changeCount, 'change')} to version ${state.base.version}.`);
  }
  return report.normalized;
}

function showFailure(error) {
  if (error.status === 401) {
    byId('sign-in').hidden = false;
    byId('sign-in-error').textContent = 'The token is not valid. Your edits are kept.';
    byId('token').focus();
  }
  setStatus(error.message, true);
}

function onDraftChanged() {
  state.writeId = '';
  byId('document').textContent = draftText();
  clearTimeout(state.validationTimer);
  state.validationTimer = setTimeout(() => validateDraft().catch(showFailure), validationDelayMs);
}

function showBase(base) {
  state.base = base;
  byId('version').textContent = base.document ? `Version ${base.version} in force` : 'No document in force';
  byId('changes-title').textContent = `Changes to version ${base.version}`;
}

/** Starts to edit a draft that is based on a version. */
async function editDraft(base, draft) {
  showBase(base);
  draft.write_id = ''; // the copied id belongs to the base version; each write gets its own
  state.draft = draft;
  state.writeId = '';
  buildForm(byId('form'), state.schema, draft, onDraftChanged);
  await validateDraft();
}

async function signIn(event) {
  event.preventDefault();
  api.setToken(byId('token').value);
  try {
    const [schema, config] = await Promise.all([api.fetchSchema(), api.fetchConfig()]);
    state.schema = schema;
    byId('sign-in').hidden = true;
    byId('sign-in-error').textContent = '';
    byId('token').value = '';
    byId('editor').hidden = false;
    byId('editor').focus({ preventScroll: true });
    if (state.draft === null) {
      await editDraft(config, structuredClone(config.document) ?? newValue(schema));
    } else {
      await validateDraft();
    }
  } catch (error) {
    byId('sign-in-error').textContent =
      error.status === 401 ? 'The token is not valid.' : `The configuration could not be read: ${error.message}.`;
  }
}

async function showWritten(version, normalized) {
  showBase({ version, document: normalized });
  state.writeId = '';
  await validateDraft();
  setStatus(`Version ${version} is written.${state.changeCount > 0 ? ' Later edits are not part of it.' : ''}`);
}

/** Determines by the write id whether a write without a response was applied. */
async function resolveUnknownOutcome(error, writeId) {
  const config = await api.fetchConfig().catch(() => null);
  if (config?.document?.write_id === writeId) {
    await showWritten(config.version, config.document);
    return;
  }
  setStatus(`${error.message}. It is not known whether the write takes effect. Submit again: ` +
    'the same write is never applied twice.', true);
}

/** Shows a failed write. Only a write checks the rules that need the current version, so it may report new errors. */
function showRefusal(error) {
  if (error.status === 400 && error.body.errors) {
    showProblems(byId('form'), { errors: error.body.errors, warnings: error.body.warnings ?? [] });
  }
  showFailure(error);
}

async function handleConflict(error, writeId, normalized) {
  const { current } = error.body;
  if (current.document?.write_id === writeId) {
    await showWritten(current.version, current.document);
    return;
  }
  setStatus(`Not written: version ${current.version} is in force.`, true);
  await showConflict(state, current, normalized, (draft) => editDraft(current, draft).catch(showFailure));
}

async function writeDraft() {
  const normalized = await validateDraft();
  if (normalized === null) {
    byId('problem-list').querySelector('button')?.focus();
    return;
  }
  if (state.changeCount === 0) {
    setStatus(`Nothing to write: the document equals version ${state.base.version}.`);
    return;
  }
  const writeId = state.writeId || newWriteId();
  state.writeId = writeId;
  const text = toYaml({ write_id: writeId, ...withoutDefaults(state.schema, state.draft) });
  try {
    const answer = await api.write(text, state.base.version);
    await showWritten(answer.version, { ...normalized, write_id: writeId });
  } catch (error) {
    if (error.status === 409) {
      await handleConflict(error, writeId, normalized);
    } else if (error.status === 0 || error.status >= 500) {
      await resolveUnknownOutcome(error, writeId);
    } else {
      showRefusal(error);
    }
  }
}

async function submit() {
  if (state.busy) {
    return;
  }
  state.busy = true;
  byId('submit').disabled = true;
  try {
    await writeDraft();
  } catch (error) {
    showFailure(error);
  } finally {
    state.busy = false;
    byId('submit').disabled = false;
  }
}

function downloadDraft() {
  const url = URL.createObjectURL(new Blob([draftText()], { type: 'application/yaml' }));
  const link = document.createElement('a');
  link.href = url;
  link.download = `intent-after-version-${state.base.version}.yaml`;
  link.click();
  URL.revokeObjectURL(url);
}

byId('sign-in').addEventListener('submit', signIn);
byId('form').addEventListener('submit', (event) => event.preventDefault());
byId('save').addEventListener('click', downloadDraft);
byId('submit').addEventListener('click', submit);
window.addEventListener('beforeunload', (event) => {
  if (state.changeCount > 0) {
    event.preventDefault();
  }
});
byId('token').focus();
