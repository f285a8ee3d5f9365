import { configs, plugins, rules } from 'eslint-config-airbnb-extended';

/** Folders in the order of their imports: each may import only from those before it. */
const layers = ['core', 'decisions', 'kernel', 'services', 'wire', 'plugins', 'platform', 'cli'];

/** Encoding and transport libraries, which decisions must not depend on. */
const transports = ['hono', '@hono/node-server', 'ws', 'msgpackr', 'undici'];

/** The platform's folder translates; what it would need for a decision is out of its reach. */
const platformPatterns = ['decisions', 'plugins'].map((layer) => ({
  regex: `^(\\.\\./)+(src/)?${layer}(/|$)`,
  message: `src/platform may not import from ${layer}`,
}));

const layerRules = layers.map((layer, index) => ({
  files: [`src/${layer}/**/*.ts`],
  ignores: ['**/*.test.ts'],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        paths: index <= layers.indexOf('services') ? transports : [],
        patterns: layers
          .slice(index + 1)
          .concat('stand-ins')
          .map((later) => ({
            regex: `^(\\.\\./)+(src/)?${later}(/|$)`,
            message: `src/${layer} may not import from ${later}`,
          }))
          .filter((pattern) => !(layer === 'cli' && pattern.regex.includes('stand-ins')))
          .concat(layer === 'platform' ? platformPatterns : []),
      },
    ],
  },
}));

/** Prettier owns the layout. */
const layoutRulesOff = Object.fromEntries(
  Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((name) => [
    `@stylistic/${name}`,
    'off',
  ]),
);

const nodeGlobals = Object.fromEntries(
  ['process', 'console', '__dirname', 'module', 'require'].map((name) => [name, 'readonly']),
);

const typedFiles = ['src/**/*.ts', 'stand-ins/**/*.ts', 'tests/**/*.ts', 'bench/**/*.ts'];

export default [
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'coverage/**'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  rules.typescript.typescriptEslintStrict,
  { rules: layoutRulesOff },
  {
    files: ['scripts/**', '**/*.cjs', '**/*.mjs'],
    languageOptions: { globals: nodeGlobals },
    rules: {
      'no-console': 'off',
      'import-x/no-default-export': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      '@typescript-eslint/no-require-imports': 'off',
    },
  },
  {
    files: typedFiles,
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      // The straight-line tasks need loops that await; see docs/design.md, section 3.1.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      'no-void': 'off',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      'max-classes-per-file': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      'import-x/no-rename-default': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/extensions': 'off',
      '@typescript-eslint/array-type': ['error', { default: 'array-simple', readonly: 'generic' }],
      '@typescript-eslint/no-empty-function': [
        'error',
        { allow: ['methods', 'asyncMethods', 'arrowFunctions'] },
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: false }],
    },
  },
  ...layerRules,
  {
    files: ['stand-ins/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      '@typescript-eslint/no-restricted-imports': [
        'error',
        {
          patterns: [
            { regex: '/src/', allowTypeImports: true, message: 'stand-ins share only types' },
          ],
        },
      ],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {
      'no-restricted-imports': 'off',
      '@typescript-eslint/no-restricted-imports': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
];
