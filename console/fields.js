// Fields for single values and for lists of strings.

import { errorSlot, make, newId } from './elements.js';
import { rangeText } from './schema.js';

/** Returns text that is not a number unchanged, so that the server's validation reports it. */
function parseInput(schema, text) {
  if (schema.type === 'string') {
    return text;
  }
  const trimmed = text.trim();
  return /^-?\d+(\.\d+)?$/.test(trimmed) ? Number(trimmed) : trimmed;
}

function storeInput(schema, owner, key, text) {
  const optional = schema.type !== 'string';
  if (optional && text.trim() === '') {
    delete owner[key];
  } else {
    owner[key] = parseInput(schema, text);
  }
}

function textInput(form, schema, owner, key, attributes) {
  return make('input', {
    type: 'text',
    value: owner[key] === undefined ? '' : String(owner[key]),
    inputmode: schema.type === 'string' ? 'text' : 'decimal',
    autocapitalize: 'none',
    spellcheck: 'false',
    list: schema.refers_to ? form.suggestionsId(schema.refers_to) : undefined,
    oninput: (event) => {
      storeInput(schema, owner, key, event.target.value);
      form.changed();
    },
    ...attributes,
  });
}

/** Creates a labelled input for a string or a number. */
export function textField(form, schema, owner, key, path) {
  const id = newId();
  const label = make('label', { for: id, text: schema.title });
  if (schema.unit) {
    label.append(make('span', { class: 'unit', text: ` (${schema.unit})` }));
  }
  const input = textInput(form, schema, owner, key, {
    id,
    placeholder: schema.default === undefined ? undefined : String(schema.default),
    'aria-describedby': `${id}-hint ${id}-error`,
  });
  const hint = make('p', {
    id: `${id}-hint`,
    class: 'hint',
    text: [schema.description, rangeText(schema)].filter(Boolean).join(' '),
  });
  return make('div', { class: 'field', 'data-path': path }, [label, input, errorSlot(`${id}-error`), hint]);
}

/** Creates a check box for a boolean. */
export function checkField(form, schema, owner, key, path) {
  const id = newId();
  const input = make('input', {
    id,
    type: 'checkbox',
    checked: owner[key] === true,
    'aria-describedby': `${id}-hint ${id}-error`,
    onchange: (event) => {
      owner[key] = event.target.checked;
      form.changed();
    },
  });
  const line = make('div', { class: 'check' }, [input, make('label', { for: id, text: schema.title })]);
  const hint = make('p', { id: `${id}-hint`, class: 'hint', text: schema.description });
  return make('div', { class: 'field', 'data-path': path }, [line, errorSlot(`${id}-error`), hint]);
}

function listRow(form, schema, list, index, path, redraw) {
  const errorId = `${newId()}-error`;
  const input = textInput(form, schema.items, list, index, {
    'aria-label': `${schema.title}, entry ${index + 1}`,
    'aria-describedby': errorId,
  });
  const remove = make('button', {
    type: 'button',
    text: 'Remove',
    'aria-label': `Remove entry ${index + 1} of ${schema.title}`,
    onclick: () => {
      list.splice(index, 1);
      form.changed();
      redraw().focus();
    },
  });
  const row = make('div', { class: 'row' }, [input, remove]);
  return make('div', { class: 'field', 'data-path': `${path}[${index}]` }, [row, errorSlot(errorId)]);
}

/** Creates the inputs of a list of strings, with buttons to add and remove entries. */
export function listBody(form, schema, owner, key, path) {
  const rows = make('div', { class: 'rows' });
  const add = make('button', { type: 'button', text: `Add ${schema.items.title.toLowerCase()}` });
  const redraw = () => {
    rows.replaceChildren(...owner[key].map((item, i) => listRow(form, schema, owner[key], i, path, redraw)));
    return add;
  };
  add.addEventListener('click', () => {
    owner[key].push('');
    redraw();
    form.changed();
    rows.lastElementChild.querySelector('input').focus();
  });
  redraw();
  return [rows, make('div', { class: 'buttons' }, [add])];
}

/** Creates the group of a list of strings inside a section or card. */
export function listField(form, schema, owner, key, path) {
  return make('fieldset', { class: 'field', 'data-path': path }, [
    make('legend', { text: schema.title }),
    make('p', { class: 'hint', text: schema.description }),
    errorSlot(`${newId()}-error`),
    ...listBody(form, schema, owner, key, path),
  ]);
}
