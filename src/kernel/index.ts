/** Lifecycle, services and tasks of a node. */
export * from './Kernel';
export * from './Log';
export * from './Plugin';
