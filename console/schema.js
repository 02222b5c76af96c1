// Default values and descriptions from the schema.

/** Returns a new value for a schema node: its default, or an empty value of its type. */
export function newValue(schema) {
  if (schema.type === 'object') {
    const value = {};
    for (const [key, property] of Object.entries(schema.properties)) {
      const required = (schema.required || []).includes(key);
      if (required || property.default !== undefined) {
        value[key] = newValue(property);
      }
    }
    return value;
  }
  if (schema.default !== undefined) {
    return structuredClone(schema.default);
  }
  return schema.type === 'array' ? [] : '';
}

/** Returns a copy without values that equal their default, as an operator would write it by hand. */
export function withoutDefaults(schema, value) {
  if (schema.type === 'array') {
    return value.map((item) => withoutDefaults(schema.items, item));
  }
  if (schema.type !== 'object') {
    return value;
  }
  const result = {};
  for (const [key, property] of Object.entries(schema.properties)) {
    if (value[key] === undefined) {
      continue;
    }
    const member = withoutDefaults(property, value[key]);
    if (JSON.stringify(member) !== JSON.stringify(property.default)) {
      result[key] = member;
    }
  }
  return result;
}

/** Returns a sentence on the range and default of a scalar, or an empty string. */
export function rangeText(schema) {
  const parts = [];
  if (schema.minimum !== undefined) {
    parts.push(`${schema.minimum} to ${schema.maximum}`);
  }
  if (schema.default !== undefined && schema.default !== '' && schema.type !== 'boolean') {
    parts.push(`default ${schema.default}`);
  }
  if (schema.expected) {
    parts.push(schema.expected);
  }
  const text = parts.join(', ');
  return text ? `${text[0].toUpperCase()}${text.slice(1)}.` : '';
}
