// The field width, which scheme overflow of all.jsonnet does not allow.
{ cells: { enabled: true, version: 1, scheme: 'shuffle', width: 2, cells: [{ name: 'one', share: 1 }], tenants: [{ name: 't', cell: 'one' }],
  keys: [{ tenant: 't' }] } }
