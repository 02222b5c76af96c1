// Serializes the document as YAML. Scalars that are not plain words are written as JSON, of which YAML is a superset.

const plainWord = /^[A-Za-z][A-Za-z0-9_-]*$/;
const reserved = /^(null|true|false|yes|no|on|off|y|n)$/i;

function scalar(value) {
  if (typeof value === 'string' && plainWord.test(value) && !reserved.test(value)) {
    return value;
  }
  return JSON.stringify(value);
}

function isInline(value) {
  return typeof value !== 'object' || value === null || Object.keys(value).length === 0;
}

function inlineText(value) {
  if (Array.isArray(value)) {
    return '[]';
  }
  return typeof value === 'object' && value !== null ? '{}' : scalar(value);
}

function blockLines(value, indent) {
  const pad = ' '.repeat(indent);
  if (Array.isArray(value)) {
    return value.flatMap((item) => {
      if (isInline(item)) {
        return [`${pad}- ${inlineText(item)}`];
      }
      const [first, ...rest] = blockLines(item, indent + 2);
      return [`${pad}- ${first.trimStart()}`, ...rest];
    });
  }
  return Object.entries(value).flatMap(([key, member]) => {
    if (isInline(member)) {
      return [`${pad}${key}: ${inlineText(member)}`];
    }
    return [`${pad}${key}:`, ...blockLines(member, indent + 2)];
  });
}

export function toYaml(value) {
  return `${blockLines(value, 0).join('\n')}\n`;
}
