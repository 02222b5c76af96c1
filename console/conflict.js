// Shows a write conflict and lets the operator choose a resolution. The operator's edits are kept until then.

import * as api from './api.js';
import { showConflictChanges } from './changes.js';
import { byId, make } from './elements.js';
import { merge } from './merge.js';
import { newValue, withoutDefaults } from './schema.js';
import { toYaml } from './yaml.js';

async function showTable(base, current, normalized) {
  const element = byId('conflict-changes');
  if (!base.document || !current.document) {
    element.replaceChildren(make('p', { class: 'hint', text: 'There is no earlier version to compare with.' }));
    return;
  }
  try {
    const [theirs, mine] = await Promise.all([
      api.difference(base.document, current.document), api.difference(base.document, normalized),
    ]);
    showConflictChanges(element, theirs, mine);
  } catch (error) {
    element.replaceChildren(make('p', { class: 'error', text: `The difference is not available: ${error.message}` }));
  }
}

/**
 * Shows the conflict section of the page.
 * @param state the page's state; its base and draft are those of the refused write
 * @param current {version, document} that is in force
 * @param normalized the refused document as the server normalized it
 * @param resolve called with the draft that the operator chose
 */
export async function showConflict(state, current, normalized, resolve) {
  const { base, schema } = state;
  byId('conflict-title').textContent = `Version ${current.version} was written by someone else`;
  byId('conflict-text').textContent =
    `You started from version ${base.version}. Nothing of yours was written, and your edits are kept.`;
  byId('conflict-theirs-title').textContent = `Version ${current.version}, in force`;
  byId('conflict-theirs').textContent = toYaml(withoutDefaults(schema, current.document ?? newValue(schema)));
  byId('conflict-mine').textContent = toYaml(withoutDefaults(schema, state.draft));
  await showTable(base, current, normalized);
  const choose = (draft) => {
    byId('conflict').hidden = true;
    byId('submit').focus(); // the focus was on a button that is hidden now
    resolve(draft);
  };
  const theirs = structuredClone(current.document) ?? newValue(schema);
  byId('combine').onclick = () => choose(structuredClone(merge(base.document ?? undefined, theirs, state.draft)));
  byId('keep-mine').onclick = () => choose(state.draft);
  byId('take-theirs').onclick = () => choose(theirs);
  byId('conflict').hidden = false;
  byId('conflict').focus();
  byId('conflict').scrollIntoView({ block: 'start' });
}
