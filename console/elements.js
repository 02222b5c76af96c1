// Helpers to create and find elements of the page.

let lastId = 0;

export function newId() {
  lastId += 1;
  return `e${lastId}`;
}

/** Creates an element. Properties become attributes, except for `text`, `on...` handlers and booleans. */
export function make(tag, properties = {}, children = []) {
  const element = document.createElement(tag);
  for (const [name, value] of Object.entries(properties)) {
    if (name === 'text') {
      element.textContent = value;
    } else if (name.startsWith('on')) {
      element.addEventListener(name.slice(2), value);
    } else if (typeof value === 'boolean') {
      element[name] = value;
    } else if (value !== undefined) {
      element.setAttribute(name, value);
    }
  }
  element.append(...children);
  return element;
}

export const byId = (id) => document.getElementById(id);

/** Creates the element that shows the errors and warnings of a value. */
export function errorSlot(id) {
  return make('p', { id, class: 'error' });
}
