// Shows errors and warnings next to their fields and in a list.

import { byId, make } from './elements.js';

const errorText = (problem) => `Found ${problem.found}. Expected ${problem.expected}.`;

function clear(form) {
  for (const slot of form.querySelectorAll('.error')) {
    slot.replaceChildren();
  }
  for (const badge of form.querySelectorAll('.badge')) {
    badge.textContent = '';
  }
  for (const input of form.querySelectorAll('[aria-invalid]')) {
    input.removeAttribute('aria-invalid');
  }
}

/** Returns the element for a path or for its nearest enclosing value; null if there is none. */
function nearestElement(elementsByPath, path) {
  let rest = path;
  while (rest && !elementsByPath.has(rest)) {
    rest = rest.slice(0, Math.max(rest.lastIndexOf('.'), rest.lastIndexOf('['), 0));
  }
  return elementsByPath.get(rest) ?? null;
}

function countInCard(element, counts) {
  const card = element.closest('.card');
  if (card) {
    counts.set(card, (counts.get(card) ?? 0) + 1);
  }
}

function markField(element, problem, kind) {
  const slot = element.querySelector('.error');
  slot.append(make('span', { class: kind, text: errorText(problem) }), make('br'));
  const input = element.querySelector('input');
  if (kind === 'error' && input && element.classList.contains('field') && element.tagName === 'DIV') {
    input.setAttribute('aria-invalid', 'true');
  }
}

function focusField(element) {
  for (let card = element.closest('details'); card; card = card.parentElement.closest('details')) {
    card.open = true;
  }
  (element.querySelector('input, summary, button') ?? element).focus();
  element.scrollIntoView({ block: 'center' });
}

function listItem(problem, element, kind) {
  const text = `${problem.path || 'document'}: ${errorText(problem)}`;
  const link = make('button', { type: 'button', class: 'link', text, onclick: () => element && focusField(element) });
  return make('li', { class: `${kind}-item` }, [link]);
}

export function countText(count, noun) {
  return `${count === 0 ? 'no' : count} ${noun}${count === 1 ? '' : 's'}`;
}

/** Replaces all displayed errors and warnings. */
export function showProblems(form, { errors, warnings }) {
  clear(form);
  const elementsByPath = new Map([...form.querySelectorAll('[data-path]')].map((item) => [item.dataset.path, item]));
  const counts = new Map();
  const items = [];
  for (const [kind, problems] of [['error', errors], ['warning', warnings]]) {
    for (const problem of problems) {
      const element = nearestElement(elementsByPath, problem.path);
      items.push(listItem(problem, element, kind));
      if (element) {
        markField(element, problem, kind);
      }
      if (element && kind === 'error') {
        countInCard(element, counts);
      }
    }
  }
  for (const [card, count] of counts) {
    card.querySelector('.badge').textContent = countText(count, 'error');
  }
  byId('problems').hidden = items.length === 0;
  byId('problems-title').textContent = `${countText(errors.length, 'error')}, ${countText(warnings.length, 'warning')}`;
  byId('problem-list').replaceChildren(...items);
}
