// Three-way merge of two documents with a common base.

const equal = (a, b) => JSON.stringify(a) === JSON.stringify(b);
const isObject = (value) => typeof value === 'object' && value !== null && !Array.isArray(value);

/** Returns the elements of a list by name; an element that is not an object is its own name. */
function byName(list) {
  return new Map((list || []).map((item) => [isObject(item) ? item.name : item, item]));
}

function mergeLists(base, theirs, mine) {
  const [baseItems, theirItems, myItems] = [base, theirs, mine].map(byName);
  const names = new Set([...theirItems.keys(), ...myItems.keys()]);
  return [...names]
    .map((name) => merge(baseItems.get(name), theirItems.get(name), myItems.get(name)))
    .filter((item) => item !== undefined);
}

function mergeObjects(base, theirs, mine) {
  const result = {};
  for (const key of new Set([...Object.keys(theirs), ...Object.keys(mine)])) {
    const member = merge(base?.[key], theirs[key], mine[key]);
    if (member !== undefined) {
      result[key] = member;
    }
  }
  return result;
}

/** Merges both sides. If both changed the same value, `mine` is kept. */
export function merge(base, theirs, mine) {
  if (equal(theirs, base) || equal(theirs, mine)) {
    return mine;
  }
  if (equal(mine, base)) {
    return theirs;
  }
  if (Array.isArray(mine) && Array.isArray(theirs)) {
    return mergeLists(base, theirs, mine);
  }
  if (isObject(mine) && isObject(theirs)) {
    return mergeObjects(base, theirs, mine);
  }
  return mine;
}
