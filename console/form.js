// Builds the form for the document from its schema.

import { errorSlot, make, newId } from './elements.js';
import { checkField, listBody, listField, textField } from './fields.js';
import { newValue } from './schema.js';

const isItemList = (schema) => schema.type === 'array' && schema.items.type === 'object';

/** Returns the path of a member in the notation of the server's error messages. */
const memberPath = (path, key) => (path ? `${path}.${key}` : key);

function field(form, schema, owner, key, path) {
  if (schema.type === 'array') {
    return listField(form, schema, owner, key, path);
  }
  if (schema.type === 'object') {
    return group(form, schema, owner[key], path);
  }
  return (schema.type === 'boolean' ? checkField : textField)(form, schema, owner, key, path);
}

function fields(form, schema, value, path) {
  const members = Object.entries(schema.properties).map(([key, property]) =>
    field(form, property, value, key, memberPath(path, key)));
  return make('div', { class: 'fields' }, members);
}

function group(form, schema, value, path) {
  return make('fieldset', { class: 'field wide', 'data-path': path }, [
    make('legend', { text: schema.title }),
    make('p', { class: 'hint', text: schema.description }),
    errorSlot(newId()),
    fields(form, schema, value, path),
  ]);
}

/** Returns the values that are not defaults, shown beside the name to distinguish the cards. */
function cardDetail(schema, item) {
  const shown = Object.entries(schema.properties)
    .filter(([key, property]) => key !== 'name' && item[key] !== undefined && item[key] !== property.default &&
      typeof item[key] !== 'object')
    .map(([key, property]) => `${property.title.toLowerCase()} ${item[key]} ${property.unit ?? ''}`.trim());
  return shown.length > 0 ? ` – ${shown.join(', ')}` : '';
}

function cardSummary(schema, item) {
  const name = make('span', { class: 'name', text: item.name || `New ${schema.title.toLowerCase()}` });
  const detail = make('span', { class: 'muted', text: cardDetail(schema, item) });
  return make('summary', {}, [name, detail, make('span', { class: 'badge' })]);
}

function card(form, schema, list, index, path, redraw) {
  const item = list[index];
  const remove = make('button', {
    type: 'button',
    text: `Remove ${schema.title.toLowerCase()}`,
    onclick: () => {
      list.splice(index, 1);
      form.changed();
      redraw().focus();
    },
  });
  const body = make('div', { class: 'body' }, [
    errorSlot(newId()), fields(form, schema, item, path), make('div', { class: 'buttons' }, [remove]),
  ]);
  const element = make('details', { class: 'card', 'data-path': path, open: form.opened.has(item) });
  element.append(cardSummary(schema, item), body);
  element.addEventListener('toggle', () => form.opened[element.open ? 'add' : 'delete'](item));
  element.addEventListener('change', () => {
    const badge = element.querySelector('.badge').textContent;
    element.querySelector('summary').replaceWith(cardSummary(schema, item));
    element.querySelector('.badge').textContent = badge;
  });
  return element;
}

/** Creates the cards of a list of objects such as the services. */
function cardList(form, schema, owner, key, path) {
  const cards = make('div', { class: 'cards' });
  const add = make('button', { type: 'button', text: `Add ${schema.items.title.toLowerCase()}` });
  const redraw = () => {
    const list = owner[key];
    cards.replaceChildren(...list.map((item, i) => card(form, schema.items, list, i, `${path}[${i}]`, redraw)));
    return add;
  };
  add.addEventListener('click', () => {
    const item = newValue(schema.items);
    form.opened.add(item);
    owner[key].push(item);
    redraw();
    form.changed();
    cards.lastElementChild.querySelector('input').focus();
  });
  redraw();
  return [cards, make('div', { class: 'buttons' }, [add])];
}

function sectionBody(form, schema, draft, key) {
  if (isItemList(schema)) {
    return cardList(form, schema, draft, key, key);
  }
  return schema.type === 'array' ? listBody(form, schema, draft, key, key) : [fields(form, schema, draft[key], key)];
}

function section(form, schema, draft, key) {
  const titleId = newId();
  return make('section', { class: 'panel', 'data-path': key, 'aria-labelledby': titleId }, [
    make('h2', { id: titleId, text: schema.title }),
    make('p', { class: 'hint', text: schema.description }),
    errorSlot(newId()),
    ...sectionBody(form, schema, draft, key),
  ]);
}

/** Creates the lists of declared names that fields with references suggest. */
function suggestionLists(draft) {
  return ['failure_domains', 'teams'].map((key) => make('datalist', { id: `suggest-${key}` },
    draft[key].map((item) => make('option', { value: item.name ?? item }))));
}

/**
 * Fills the form element. The fields modify the draft in place and call changed() after each change.
 * Properties that the schema marks as managed are set by the tools and have no field.
 */
export function buildForm(element, schema, draft, changed) {
  const form = {
    opened: new WeakSet(),
    suggestionsId: (key) => `suggest-${key}`,
    changed: () => {
      for (const list of suggestionLists(draft)) {
        document.getElementById(list.id).replaceWith(list);
      }
      changed();
    },
  };
  const sections = Object.entries(schema.properties)
    .filter(([, property]) => !property.managed)
    .map(([key, property]) => section(form, property, draft, key));
  element.replaceChildren(...sections, ...suggestionLists(draft));
}
