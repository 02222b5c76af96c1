// Tables of changes.

import { make } from './elements.js';

const displayText = (text) => (text === '' ? 'none' : text);

function table(headings, rows) {
  const head = make('thead', {}, [make('tr', {}, headings.map((text) => make('th', { scope: 'col', text })))]);
  return make('div', { class: 'table' }, [make('table', { class: 'changes' }, [head, make('tbody', {}, rows)])]);
}

const cell = (label, text, kind) => make('td', { 'data-label': label, class: kind, text: displayText(text) });

/** Lists the changes that a write of the draft would make. */
export function showChanges(element, changes) {
  if (changes.length === 0) {
    element.replaceChildren(make('p', { class: 'hint', text: 'None.' }));
    return;
  }
  const rows = changes.map((change) => make('tr', { 'data-change': change.path }, [
    make('td', { text: change.path }), cell('In force', change.before, 'before'), cell('New', change.after, 'after'),
  ]));
  element.replaceChildren(table(['Property', 'In force', 'New'], rows));
}

function conflictRow(path, theirs, mine) {
  const base = (theirs ?? mine).before;
  const name = make('td', { text: path });
  if (theirs && mine && theirs.after !== mine.after) {
    name.append(make('span', { class: 'tag', text: 'changed by both' }));
  }
  return make('tr', { 'data-change': path, class: theirs && mine ? 'both' : 'one' }, [
    name, cell('Base', base, ''), cell('In force', theirs ? theirs.after : base, ''),
    cell('Yours', mine ? mine.after : base, ''),
  ]);
}

/** Lists the changes of both sides since their common base version. */
export function showConflictChanges(element, theirs, mine) {
  const theirChanges = new Map(theirs.map((change) => [change.path, change]));
  const myChanges = new Map(mine.map((change) => [change.path, change]));
  const paths = [...new Set([...theirChanges.keys(), ...myChanges.keys()])].sort();
  const rows = paths.map((path) => conflictRow(path, theirChanges.get(path), myChanges.get(path)));
  element.replaceChildren(table(['Property', 'Base', 'In force', 'Yours'], rows));
}
